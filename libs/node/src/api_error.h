#ifndef KNAPWEEDSTILE_NODE_API_ERROR_H_
#define KNAPWEEDSTILE_NODE_API_ERROR_H_

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedstile::node {

// What a caller may conclude about its request from an error.
enum class RunTruth {
  kNotRun,   // it provably did not run
  kUnknown,  // it may have run
  kUnsaid,   // the question does not arise (a request that is wrong in itself)
};

// An error answer in the OpenAI shape.
struct ApiError {
  unsigned status = 500;
  std::string type;     // OpenAI's error types
  std::string code;     // stable, for programs
  std::string message;  // for people
  std::string param;    // the field at fault, or empty
  RunTruth truth = RunTruth::kUnsaid;
  std::optional<uint64_t> retry_after_ms;
};

}  // namespace knapweedstile::node

#endif  // KNAPWEEDSTILE_NODE_API_ERROR_H_
