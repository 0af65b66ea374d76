// Strings of log lines from bytes that need not be text.
#include "runtime/internal/json_string.h"

#include <catch2/catch.hpp>

namespace dn {
namespace {

// Guards against log lines that no reader can parse, or that are as long as what a foreign
// writer put into the store.
TEST_CASE("any bytes become a bounded JSON string", "[runtime][log]") {
  struct Case {
    std::string name;
    std::string text;
    std::string expected;
  };
  const std::string replaced = "\xef\xbf\xbd";
  const auto c = GENERATE_COPY(values<Case>({
      {"empty", "", ""},
      {"plain", "a=1 b", "a=1 b"},
      {"quote and backslash", R"(a"b\c)", R"(a\"b\\c)"},
      {"control characters", std::string("a\0\r\n\tb", 6), "a    b"},
      {"two, three and four bytes", "\xc3\xa4\xe2\x82\xac\xf0\x9f\x99\x82",
       "\xc3\xa4\xe2\x82\xac\xf0\x9f\x99\x82"},
      {"lone continuation", "a\x80z", "a" + replaced + "z"},
      {"overlong", "\xc0\xaf", replaced + replaced},
      {"overlong, three bytes", "\xe0\x80\xaf", replaced + replaced + replaced},
      {"surrogate", "\xed\xa0\x80", replaced + replaced + replaced},
      {"beyond Unicode", "\xf5\x80", replaced + replaced},
      {"incomplete", "a\xe2\x82", "a" + replaced + replaced},
      {"exactly the limit", std::string(16, 'x'), std::string(16, 'x')},
      {"over the limit", std::string(17, 'x'), std::string(13, 'x') + "..."},
      {"escapes at the limit", std::string(9, '"'), R"(\"\"\"\"\"\"...)"},
      {"a sequence at the limit", std::string(12, 'x') + "\xe2\x82\xac\xe2\x82\xac",
       std::string(12, 'x') + "..."},
      {"huge", std::string(300'000, '\xff'), replaced + replaced + replaced + replaced + "..."},
  }));
  CAPTURE(c.name);
  std::string out;
  AppendJsonString(out, c.text, 16);
  CHECK(out == '"' + c.expected + '"');
}

}  // namespace
}  // namespace dn
