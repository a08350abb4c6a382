#include "base/bounded_json.h"

#include <boost/json/memory_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/storage_ptr.hpp>
#include <new>

namespace knapweedstile {
namespace {

namespace json = boost::json;

// Allocates from the heap up to a limit. Shared by the values and by the
// parser's own stack, which has all elements of the arrays that are open.
class BoundedResource : public json::memory_resource {
 public:
  explicit BoundedResource(size_t max_bytes) : left_(max_bytes) {}

 private:
  void* do_allocate(size_t bytes, size_t alignment) override {
    if (bytes > left_) throw std::bad_alloc();
    void* memory = ::operator new (bytes, std::align_val_t{alignment});
    left_ -= bytes;
    return memory;
  }
  void do_deallocate(void* memory, size_t bytes, size_t alignment) override {
    ::operator delete (memory, std::align_val_t{alignment});
    left_ += bytes;
  }
  bool do_is_equal(const json::memory_resource& other) const noexcept override {
    return this == &other;
  }

  size_t left_;
};

}  // namespace

std::optional<json::value> ParseBoundedJson(std::string_view text,
                                            size_t max_bytes) {
  const json::storage_ptr storage =
      json::make_shared_resource<BoundedResource>(max_bytes);
  try {
    json::parser parser(storage);
    parser.reset(storage);
    json::error_code ec;
    parser.write({text.data(), text.size()}, ec);
    if (ec) return std::nullopt;
    return parser.release();
  } catch (const std::bad_alloc&) {
    return std::nullopt;
  }
}

}  // namespace knapweedstile
