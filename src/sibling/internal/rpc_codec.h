// Encodes and decodes JSON-RPC by means of libjsonrpccpp. This interface includes
// none of the library's headers, which do not compile as C++17 or later.
#pragma once

#include <functional>
#include <memory>
#include <string>

namespace dn {

// Returns the text of a JSON-RPC 2.0 call. `parameters` is the text of a JSON object.
std::string EncodeRpcCall(const std::string& method, const std::string& parameters);

// Returns the result in a JSON-RPC response as JSON text, or an empty string if the
// response is an error or malformed.
std::string DecodeRpcResponse(const std::string& response);

// Decodes calls, passes them to the bound methods and encodes their results.
class RpcDispatcher {
 public:
  // Takes the parameters of a call and returns its result, both as JSON text.
  using Method = std::function<std::string(const std::string& parameters)>;

  RpcDispatcher();
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  // Registers `method` under `name`. Must not be called after the first Dispatch.
  void Bind(const std::string& name, Method method);
  // Returns the response to one call, which is a JSON-RPC error if the call is
  // malformed or its method is unknown. May be called concurrently.
  std::string Dispatch(const std::string& call) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dn
