// Decoding and checks of settings, configurations and records. Every problem of a
// file is reported at once, with its JSON pointer and line.
#include <catch2/catch.hpp>

#include "decisions/decisions.h"
#include "entry/entry.h"
#include "runtime/runtime.h"

namespace dn {
namespace {

struct Expected {
  std::string pointer;
  int line;
};

TEST_CASE("decoding a configuration reports all findings", "[runtime][settings]") {
  struct Case {
    std::string name;
    std::string text;
    std::vector<Expected> findings;
  };
  const auto c = GENERATE(values<Case>({
      {"empty object", "{}", {{"/deployment", 1}, {"/regions", 1}, {"/services", 1}}},
      {"not JSON", "{\n\"a\": \n", {{"", 3}}},
      {"not an object", "[]", {{"", 1}}},
      {"duplicate member", R"({"deployment":"a","deployment":"b"})", {{"", 1}}},
      {"unknown member",
       "{\"deployment\":\"d\",\n\"regions\":[],\n\"services\":[],\n\"extra\":1}",
       {{"/extra", 4}}},
      {"wrong types",
       "{\"deployment\":1,\n\"regions\":{},\n\"services\":[]}",
       {{"/deployment", 1}, {"/regions", 2}}},
      {"two members out of range",
       "{\"deployment\":\"d\",\"regions\":[],\"services\":[\n{\"name\":\"s\",\n"
       "\"slots_per_worker\":0,\n\"connections_per_worker\":70000}]}",
       {{"/services/0/slots_per_worker", 3}, {"/services/0/connections_per_worker", 4}}},
  }));
  CAPTURE(c.name);
  Findings findings;
  const auto configuration =
      DecodeText<Configuration>("f.json", c.text, UnknownMembers::kReject, findings);
  CHECK_FALSE(configuration.has_value());
  REQUIRE(findings.size() == c.findings.size());
  for (std::size_t i = 0; i < findings.size(); ++i) {
    CHECK(findings[i].file == "f.json");
    CHECK(findings[i].pointer == c.findings[i].pointer);
    CHECK(findings[i].line == c.findings[i].line);
    CHECK_FALSE(findings[i].message.empty());
  }
}

Configuration ValidConfiguration() {
  return Configuration(
      {.deployment = "d",
       .regions = {Region({.name = {"r"}, .availability_zones = {{"z"}}})},
       .services = {Service({.name = {"s"}, .slots_per_worker = 2, .connections_per_worker = 2})}});
}

TEST_CASE("the check of a configuration reports inconsistencies", "[decisions][settings]") {
  struct Case {
    std::string name;
    void (*edit)(ConfigurationFields&);
    std::vector<std::string> pointers;
  };
  const auto c = GENERATE(values<Case>({
      {"consistent", [](ConfigurationFields&) {}, {}},
      {"duplicate service",
       [](ConfigurationFields& f) { f.services.push_back(f.services[0]); },
       {"/services/1/name"}},
      {"duplicate availability zone",
       [](ConfigurationFields& f) {
         f.regions.push_back(Region({.name = {"r2"}, .availability_zones = {{"z"}}}));
       },
       {"/regions/1/availability_zones"}},
      {"fewer connections than slots",
       [](ConfigurationFields& f) {
         f.services = {
             Service({.name = {"s"}, .slots_per_worker = 2, .connections_per_worker = 1})};
       },
       {"/services/0/connections_per_worker"}},
      {"duplicate region and service",
       [](ConfigurationFields& f) {
         f.regions.push_back(f.regions[0]);
         f.services.push_back(f.services[0]);
       },
       {"/regions/1/name", "/services/1/name", "/regions/1/availability_zones"}},
  }));
  CAPTURE(c.name);
  const Findings findings = CheckConfiguration(ValidConfiguration().With(c.edit));
  REQUIRE(findings.size() == c.pointers.size());
  for (std::size_t i = 0; i < findings.size(); ++i) CHECK(findings[i].pointer == c.pointers[i]);
}

TEST_CASE("the check of an instance's settings reports all problems", "[entry][settings]") {
  struct Case {
    std::string name;
    std::string text;
    std::vector<std::string> pointers;
  };
  const std::string other_members = R"("region":"r","zone":"z","store":"127.0.0.1:1")";
  const auto c = GENERATE_COPY(values<Case>({
      {"valid",
       R"({"id":"i","caller_address":"127.0.0.1:3","sibling_address":"127.0.0.1:4",)" +
           other_members + "}",
       {}},
      {"same address twice, unknown routing strategy",
       R"({"id":"i","caller_address":"127.0.0.1:3","sibling_address":"127.0.0.1:3","routing":"x",)" +
           other_members + "}",
       {"/sibling_address", "/routing"}},
      {"key window too long for the retention period",
       R"({"id":"i","caller_address":"127.0.0.1:3","sibling_address":"127.0.0.1:4","retention_ms":10000,
"key_window_ms":9000,)" +
           other_members + "}",
       {"/key_window_ms"}},
      {"host name instead of an IP address, port too large",
       R"({"id":"i","caller_address":"localhost:3","sibling_address":"127.0.0.1:99999",)" +
           other_members + "}",
       {"/caller_address", "/sibling_address"}},
  }));
  CAPTURE(c.name);
  Findings findings;
  const auto settings =
      DecodeText<InstanceSettings>("s.json", c.text, UnknownMembers::kReject, findings);
  if (settings) findings = CheckSettings(*settings);
  REQUIRE(findings.size() == c.pointers.size());
  for (std::size_t i = 0; i < findings.size(); ++i) CHECK(findings[i].pointer == c.pointers[i]);
}

TEST_CASE("decoding an encoded record returns the same record", "[runtime][codec]") {
  const KeyRecord record({.key = {"k"},
                          .claim = {"x"},
                          .claimant = {"i"},
                          .outcome = RequestOutcome::kAnswered,
                          .status = 201});
  const auto decoded = DecodeMessage<KeyRecord>(EncodeText(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == record);
}

TEST_CASE("decoding an invalid message returns kMalformed", "[runtime][codec]") {
  const auto text = GENERATE(as<std::string>{}, "", "{", "[]", R"({"key":"k"})",
                             R"({"key":5,"claim":"x","claimant":"i"})",
                             R"({"key":"k","claim":"x","claimant":"i","outcome":"never"})");
  CAPTURE(text);
  const auto decoded = DecodeMessage<KeyRecord>(text);
  REQUIRE(decoded.has_error());
  CHECK(decoded.error() == Errc::kMalformed);
}

}  // namespace
}  // namespace dn
