// The late bytes look like a success without id and signature. The client of
// the order that waits there gets them as its answer.
#include "../harness/spoiled_orders.hpp"

using namespace review;

namespace {

const std::string kExtraBytes =
    "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbytes to no request.";

int Run(Record& record, const std::string& folder) {
  const auto end = SendOrders(record, folder, kExtraBytes);
  if (!end || (HasTrouble() && end->spoiled == 0)) {
    return kCouldNotRun;
  }
  return end->foreign > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Run);
}
