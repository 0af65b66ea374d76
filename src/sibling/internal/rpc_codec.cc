// Implements the JSON-RPC codec. This is the only source that includes the headers
// of libjsonrpccpp, and it is compiled as C++14.
#include "sibling/internal/rpc_codec.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <map>
#include <memory>

namespace dn {
namespace {

std::string TextOf(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value ValueOf(const std::string& text) {
  Json::Value value;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  return value;
}

// Whether `text` is JSON. The library must not see deeply nested text: its client has
// exception specifications, so that the exception of the parser ends the process.
bool IsJson(const std::string& text) {
  Json::Value value;
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  } catch (const std::exception&) {
    return false;
  }
}

// Stands in for the transport of the library's client: stores the call that the
// client encodes and returns a given response to it.
class CapturingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    sent = message;
    result = response;
  }
  std::string sent;
  std::string response = R"({"id":1,"jsonrpc":"2.0","result":null})";
};

}  // namespace

std::string EncodeRpcCall(const std::string& method, const std::string& parameters) {
  CapturingConnector connector;
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(method, ValueOf(parameters));
  } catch (const jsonrpc::JsonRpcException&) {
    // The placeholder response may be rejected; only the encoded call is used.
  }
  return connector.sent;
}

std::string DecodeRpcResponse(const std::string& response) {
  if (!IsJson(response)) return {};
  CapturingConnector connector;
  connector.response = response;
  jsonrpc::Client client(connector);
  try {
    return TextOf(client.CallMethod("answer", Json::Value(Json::objectValue)));
  } catch (const std::exception&) {
    return {};
  }
}

struct RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
  Impl()
      : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                       *this)) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    output = ValueOf(methods.at(procedure.GetProcedureName())(TextOf(input)));
  }
  void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override {
    methods.at(procedure.GetProcedureName())(TextOf(input));
  }

  std::map<std::string, Method> methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcDispatcher::RpcDispatcher() : impl_(new Impl) {}
RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Bind(const std::string& name, Method method) {
  impl_->methods[name] = std::move(method);
  impl_->protocol->AddProcedure(
      jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string RpcDispatcher::Dispatch(const std::string& call) const {
  if (!IsJson(call)) {
    return R"({"error":{"code":-32700,"message":"Parse error"},"id":null,"jsonrpc":"2.0"})";
  }
  std::string response;
  impl_->protocol->HandleRequest(call, response);
  return response;
}

}  // namespace dn
