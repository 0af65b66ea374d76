// JSON parsing and the parts of the decoder that are not templates.
#include "runtime/internal/json_codec.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <memory>
#include <utility>

namespace dn {
namespace {

Json::CharReaderBuilder MakeReaderBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["strictRoot"] = false;
  return builder;
}

// Adds the errors that jsoncpp reports, each as "* Line 3, Column 7\n  message". Messages
// quote the text that they refer to, whatever its length.
void AddSyntaxErrors(const std::string& file, const std::string& errors, Findings& findings) {
  constexpr std::string_view kLinePrefix = "* Line ";
  constexpr std::size_t kMaxMessageBytes = 200;  // The longest message without a quote has 80.
  int line_number = 0;                           // Of the message that follows; 0: none does.
  std::string_view rest = errors;
  while (!rest.empty()) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (line.starts_with(kLinePrefix)) {
      const char* const digits = line.data() + kLinePrefix.size();
      std::from_chars(digits, line.data() + line.size(), line_number);
    } else if (line_number > 0) {
      line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
      findings.push_back({.file = file,
                          .pointer = {},
                          .line = std::exchange(line_number, 0),
                          .message = std::string(line.substr(0, kMaxMessageBytes))});
    }
  }
}

}  // namespace

std::string ToText(const Json::Value& value) {
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return builder;
  }();
  return Json::writeString(kBuilder, value);
}

std::optional<Json::Value> ParseJson(const std::string& file, const std::string& text,
                                     Findings& findings) {
  static const Json::CharReaderBuilder kBuilder = MakeReaderBuilder();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value root;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &root, &errors)) return root;
  } catch (const std::exception& error) {  // Nesting exceeds the library's limit.
    errors = std::string("* Line 1, Column 1\n  ") + error.what();
  }
  const std::size_t before = findings.size();
  AddSyntaxErrors(file, errors, findings);
  if (findings.size() == before) {
    findings.push_back({.file = file, .pointer = {}, .line = 1, .message = "is not valid JSON"});
  }
  return std::nullopt;
}

void JsonDecoder::AddFinding(const Json::Value& at, const std::string& pointer,
                             std::string message) {
  findings_.push_back(
      {.file = file_, .pointer = pointer, .line = LineOf(at), .message = std::move(message)});
}

int JsonDecoder::LineOf(const Json::Value& value) const {
  if (text_.empty()) return 0;
  const auto offset =
      std::min<std::ptrdiff_t>(value.getOffsetStart(), static_cast<std::ptrdiff_t>(text_.size()));
  return 1 + static_cast<int>(std::count(text_.begin(), text_.begin() + offset, '\n'));
}

void JsonDecoder::ReadEndpoint(const Json::Value& from, const std::string& pointer, Endpoint& to) {
  const std::string text = from.isString() ? from.asString() : "";
  const std::size_t colon = text.rfind(':');
  boost::system::error_code error;
  int port = -1;
  if (colon != std::string::npos) {
    boost::asio::ip::make_address(text.substr(0, colon), error);
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ptr != end || parsed.ec != std::errc{}) port = -1;
  }
  constexpr int kMaxPort = 65535;
  if (colon == std::string::npos || error || port < 0 || port > kMaxPort) {
    return AddFinding(from, pointer, "must be \"<IP address>:<port>\"");
  }
  to = {.host = text.substr(0, colon), .port = static_cast<std::uint16_t>(port)};
}

void JsonDecoder::RejectUnknown(const Json::Value& from, const std::string& pointer,
                                const std::vector<std::string_view>& known) {
  for (const std::string& name : from.getMemberNames()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      AddFinding(from[name], pointer + "/" + name, "is not a known member");
    }
  }
}

}  // namespace dn
