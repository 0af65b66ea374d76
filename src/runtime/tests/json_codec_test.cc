// Messages that no peer of this project writes.
#include <catch2/catch.hpp>

#include "core/core.h"
#include "runtime/runtime.h"

namespace dn {
namespace {

std::string Repeat(const std::string& text, std::size_t times) {
  std::string out;
  for (std::size_t i = 0; i < times; ++i) out += text;
  return out;
}

// Guards against an instance that ends because of one message: the pattern that splits
// error messages used the stack for each byte of a number of 400,000 digits.
TEST_CASE("odd messages are refused", "[runtime][json]") {
  struct Case {
    std::string name;
    std::string text;
  };
  const auto c = GENERATE(values<Case>({
      {"empty", ""},
      {"a NUL", std::string(1, '\0')},
      {"invalid UTF-8", "\x80\xff"},
      {"arrays nested 100,000 deep", Repeat("[", 100'000)},
      {"closed arrays nested 100,000 deep", Repeat("[", 100'000) + Repeat("]", 100'000)},
      {"objects nested 50,000 deep", Repeat(R"({"a":)", 50'000)},
      {"a number of 400,000 digits", R"({"from":)" + std::string(400'000, '9') + "}"},
      {"an exponent of 400,000 digits", R"({"from":1e)" + std::string(400'000, '9') + "}"},
      {"1e999", R"({"from":1e999})"},
      {"a long token", std::string(400'000, 'x')},
      {"a long member", R"({")" + std::string(400'000, 'x') + R"(":x})"},
      {"100,000 errors", "[" + Repeat("x,", 100'000) + "]"},
      {"a number that is a string", R"({"from":"a","incarnation":"1"})"},
      {"2^64", R"({"from":"a","incarnation":18446744073709551616})"},
      {"-1", R"({"from":"a","incarnation":-1})"},
  }));
  CAPTURE(c.name);
  CHECK_FALSE(DecodeMessage<Heartbeat>(c.text));
}

}  // namespace
}  // namespace dn
