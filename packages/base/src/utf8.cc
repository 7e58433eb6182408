#include "gentianroute/base/utf8.h"

#include <boost/locale/utf.hpp>

namespace gentianroute {

bool IsUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char* at = text.data();
  const char* const end = at + text.size();
  while (at != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(at, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

}  // namespace gentianroute
