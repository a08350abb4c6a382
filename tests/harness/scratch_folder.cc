#include "harness/scratch_folder.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace knapweedstile::harness {

ScratchFolder::ScratchFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "knap-XXXXXX").string();
  path_ = ::mkdtemp(pattern.data());
}

ScratchFolder::~ScratchFolder() {
  if (std::getenv("KNAP_KEEP") != nullptr) {
    std::cerr << "kept " << path_ << "\n";
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace knapweedstile::harness
