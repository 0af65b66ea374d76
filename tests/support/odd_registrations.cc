// Builds the table of odd registrations.
#include "tests/support/odd_registrations.h"

namespace dn::testing {
namespace {

constexpr std::size_t kDepth = 100'000;

std::string Repeat(const std::string& text, std::size_t times) {
  std::string out;
  out.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) out += text;
  return out;
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

// A member and a JSON text that replaces its value.
struct Replacement {
  std::string name;
  std::string member;
  std::string text;
  std::string pointer;  // Empty: "/" and the member.
};

std::vector<Replacement> Replacements() {
  const std::string deep_arrays = Repeat("[", kDepth) + Repeat("]", kDepth);
  const std::string deep_objects = Repeat(R"({"a":)", kDepth / 10) + "1" + Repeat("}", kDepth / 10);
  std::vector<Replacement> rows = {
      {"arrays nested in an unknown member", "Extra", deep_arrays, "/"},
      {"objects nested in an unknown member", "Extra", deep_objects, "/"},
      {"arrays nested in the labels", "Labels", deep_arrays, "/"},
      {"objects nested in the capacity", "Capacity", deep_objects, "/"},
      {"NaN", "born", "NaN", "/"},
      {"a digit string of 1,000 digits", "born", std::string(1'000, '9'), ""},
      {"invalid UTF-8 in a string", "Zone", "\"\xff\xfe\"", "/"},
      {"a control character in a string", "Zone", std::string("\"a\0b\"", 5), "/"},
      {"port 0", "Address", R"("127.0.0.1:0")", ""},
      {"port 65536", "Address", R"("127.0.0.1:65536")", ""},
      {"a port of 20 digits", "Address", R"("127.0.0.1:99999999999999999999")", ""},
      {"a port of 1,000 digits", "Address", Quoted("127.0.0.1:" + std::string(1'000, '1')), ""},
      {"a negative port", "Address", R"("127.0.0.1:-1")", ""},
      {"a port that is not a number", "Address", R"("127.0.0.1:x")", ""},
      {"an empty port", "Address", R"("127.0.0.1:")", ""},
      {"an address without a port", "Address", R"("127.0.0.1")", ""},
      {"an empty address", "Address", R"("")", ""},
      {"an address without a host", "Address", R"(":8080")", ""},
      {"a host name", "Address", R"("worker.example:8080")", ""},
      {"a host with five numbers", "Address", R"("127.0.0.0.1:8080")", ""},
      {"a host with a number over 255", "Address", R"("127.0.0.256:8080")", ""},
      {"an IPv6 host", "Address", R"("[::1]:8080")", ""},
      {"an IPv6 host without brackets", "Address", R"("::1:8080")", ""},
      {"the unspecified host", "Address", R"("0.0.0.0:8080")", ""},
      {"a host of 15,000 bytes", "Address", Quoted(std::string(15'000, 'h') + ":8080"), ""},
      {"a host of 100,000 bytes", "Address", Quoted(std::string(100'000, 'h') + ":8080"), "/"},
      {"a NUL in the host", "Address", R"("127.0.0.1\u0000:8080")", ""},
      {"a line break in the host", "Address", R"("127.0.0.1\r\nX-A: b:8080")", ""},
      {"invalid UTF-8 in the address", "Address", "\"\xff:8080\"", "/"},
      {"an address that is a number", "Address", "8080", ""},
      {"an address that is null", "Address", "null", ""},
      {"an address that is an array", "Address", R"(["127.0.0.1",8080])", ""},
      {"no address", "Address", "", ""},
      {"an unknown state", "State", R"("stopped")", ""},
      {"a state in capitals", "State", R"("READY")", ""},
      {"an empty state", "State", R"("")", ""},
      {"a state that is a number", "State", "1", ""},
      {"no state", "State", "", ""},
      {"an empty service", "Service", R"("")", ""},
      {"a service that is a number", "Service", "7", ""},
      {"a service that is null", "Service", "null", ""},
      {"a service that is an object", "Service", R"({"Name":"s"})", ""},
      {"no service", "Service", "", ""},
      {"a service of 250,000 bytes", "Service", Quoted(std::string(250'000, 's')), "/"},
      {"a zone that is a number", "Zone", "7", ""},
      {"no zone", "Zone", "", ""},
      {"a version that is a number", "Version", "1", ""},
      {"labels that are a string", "Labels", R"("a")", ""},
      {"labels that are numbers", "Labels", "[1,2]", ""},
      {"labels that are null", "Labels", "null", ""},
      {"10,000 labels", "Labels", "[" + Repeat(R"("a",)", 10'000) + R"("r1"])", "/"},
      {"a label of 250,000 bytes", "Labels", "[" + Quoted(std::string(250'000, 'l')) + "]", "/"},
      {"no capacity", "Capacity", "", ""},
      {"a capacity that is a number", "Capacity", "16000", ""},
      {"a capacity that is null", "Capacity", "null", ""},
      {"an empty capacity", "Capacity", "{}", "/Capacity/Cpu"},
  };
  struct Number {
    std::string name;
    std::string text;
  };
  const std::vector<Number> numbers = {{"1e999", "1e999"},
                                       {"1e400", "1e400"},
                                       {"31 digits", "1" + std::string(30, '0')},
                                       {"-1", "-1"},
                                       {"-1e999", "-1e999"},
                                       {"2^63", "9223372036854775808"},
                                       {"2^64", "18446744073709551616"},
                                       {"a string", R"("5")"},
                                       {"true", "true"}};
  for (const char* member : {"born", "RemainingMs", "Sequence", "Slots", "ColdRemainingMs"}) {
    for (const Number& number : numbers) {
      rows.push_back({std::string(member) + " is " + number.name, member, number.text, ""});
    }
  }
  for (const char* member : {"Cpu", "MemMb", "Gpu"}) {
    for (const Number& number : numbers) {
      const std::string before = std::string(member) == "Cpu" ? "" : R"("Cpu":4000,)";
      const std::string after = std::string(member) == "MemMb" ? "" : R"(,"MemMb":4000)";
      std::string capacity = "{" + before + Quoted(member) + ":" + number.text + after + "}";
      rows.push_back({std::string(member) + " is " + number.name, "Capacity", std::move(capacity),
                      std::string("/Capacity/") + member});
    }
  }
  return rows;
}

}  // namespace

std::string RegistrationText(const std::string& service, const std::string& address,
                             const std::map<std::string, std::string>& replaced) {
  std::map<std::string, std::string> members = {
      {"Service", Quoted(service)},
      {"Address", Quoted(address)},
      {"Zone", R"("z1")"},
      {"Version", R"("v1")"},
      {"Slots", "8"},
      {"State", R"("ready")"},
      {"ColdRemainingMs", "0"},
      {"Capacity", R"({"Cpu":4000,"MemMb":4000,"Gpu":0})"},
      {"Labels", R"(["a","r1"])"},
      {"born", "1790880110024"},
      {"Sequence", "4"}};
  for (const auto& [name, text] : replaced) members[name] = text;
  std::string out = "{";
  for (const auto& [name, text] : members) {
    if (text.empty()) continue;
    if (out.size() > 1) out += ',';
    out += Quoted(name) + ":" + text;
  }
  return out + "}";
}

std::vector<OddRegistration> OddRegistrations(const std::string& service,
                                              const std::string& address) {
  const std::string valid = RegistrationText(service, address);
  const std::string control_key("odd\0-\r\nX-A: b", 13);
  std::vector<OddRegistration> out = {
      {"invalid UTF-8 in the key", "odd-\x80\xff", valid, "/"},
      {"control characters in the key", control_key, valid, "/"},
      {"a key of 255 bytes that is not UTF-8", std::string(255, '\xff'), valid, "/"},
      {"not JSON", "odd-text", "?", "/"},
      {"not UTF-8", "odd-bytes", "\x80\xff", "/"},
      {"a NUL", "odd-nul", std::string(1, '\0'), "/"},
      {"an array", "odd-array", "[" + valid + "]", "/"},
      {"a string", "odd-string", R"("ready")", "/"},
      {"null", "odd-null", "null", "/"},
      {"an empty object", "odd-object", "{}", "/Service"},
      {"a truncated object", "odd-cut", valid.substr(0, valid.size() / 2), "/"},
      {"bytes after the object", "odd-tail", valid + "}", "/"},
      {"a byte order mark", "odd-mark", "\xef\xbb\xbf" + valid, "/"},
      {"arrays nested 100,000 deep", "odd-deep-arrays", Repeat("[", kDepth), "/"},
      {"objects nested 50,000 deep", "odd-deep-objects", Repeat(R"({"a":)", kDepth / 2), "/"},
      {"250,000 spaces", "odd-spaces", std::string(250'000, ' '), "/"},
  };
  int number = 0;
  for (const Replacement& row : Replacements()) {
    std::string value = RegistrationText(service, address, {{row.member, row.text}});
    out.push_back({.name = row.name,
                   .key = "odd-" + std::to_string(++number),
                   .value = std::move(value),
                   .pointer = row.pointer.empty() ? "/" + row.member : row.pointer});
  }
  return out;
}

}  // namespace dn::testing
