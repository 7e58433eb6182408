#include "gentianroute/gateway/detail/row_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <criterion/criterion.h>

#include <string>

using namespace gentianroute::gateway;
using gentianroute::gateway::detail::ReadRows;
using gentianroute::gateway::detail::RowWriter;
namespace schema = gentianroute::schema;

namespace {

/// A configuration of many routes in the operators' format.
std::string LargeConfiguration(int routes) {
  std::string text = R"({"version":36,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    text += R"({"hostname":"fiwu54.example","prefix":"/)" +
            std::to_string(i * 7919) +
            R"(/","type":"idempotent","timeoutMs":2000,"service":"tile55a"},)";
  }
  return text + "]}";
}

struct CopyFixture {
  capnp::MallocMessageBuilder message;
  RowWriter writer;

  std::vector<StoredRow> SendAndRead(const std::vector<StoredRow>& rows) {
    auto copy = message.initRoot<schema::StoreCopy>();
    writer.Write(rows, copy.initDeployment(static_cast<unsigned>(rows.size())));
    return ReadRows(copy.asReader().getDeployment());
  }
  std::size_t EncodedSize() {
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
  }
};

}  // namespace

Test(row_messages, rows_are_read_as_they_were_written) {
  CopyFixture fixture;
  const auto rows =
      fixture.SendAndRead({{"small", "{}", 7, false},
                           {"large", LargeConfiguration(500), 8, false},
                           {"gone", "", 9, true}});
  cr_assert_eq(rows.size(), 3);
  cr_assert(rows[0].value == "{}");
  cr_assert(rows[1].value == LargeConfiguration(500));
  cr_assert_eq(rows[1].version, 8);
  cr_assert(rows[2].deleted);
}

// One daemon has read a configuration of 5,000 routes, and fifteen others of
// its data centre copy it over a link of 10 Mbit/s. All must have it within
// about a second, beside other traffic.
Test(row_messages, large_configuration_reaches_a_data_centre_in_time) {
  constexpr int kPeers = 15;
  constexpr double kLinkBytesPerSecond = 10e6 / 8;
  constexpr double kMaxSeconds = 1.2;
  CopyFixture fixture;
  fixture.SendAndRead({{"config", LargeConfiguration(5000), 8, false}});
  const double seconds =
      static_cast<double>(fixture.EncodedSize()) * kPeers / kLinkBytesPerSecond;
  cr_assert_lt(seconds, kMaxSeconds);
}

Test(row_messages, newer_version_is_not_sent_from_the_older_copy) {
  CopyFixture fixture;
  fixture.SendAndRead({{"config", LargeConfiguration(100), 8, false}});
  const auto rows =
      fixture.SendAndRead({{"config", LargeConfiguration(101), 9, false}});
  cr_assert(rows.at(0).value == LargeConfiguration(101));
}

// An incompatible or faulty peer must not crash this daemon.
Test(row_messages, rows_with_invalid_compressed_values_are_skipped) {
  capnp::MallocMessageBuilder message;
  auto list = message.initRoot<schema::StoreCopy>().initDeployment(2);
  const kj::byte bytes[] = {1, 2, 3};
  list[0].setKey("broken");
  list[0].setInflatedSize(10'000);
  list[0].setValue(kj::arrayPtr(bytes, 3));
  list[1].setKey("huge");
  list[1].setInflatedSize(0xFFFFFFFF);
  list[1].setValue(kj::arrayPtr(bytes, 3));
  cr_assert(ReadRows(list.asReader()).empty());
}
