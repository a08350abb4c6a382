#ifndef KNAPWEEDSTILE_HARNESS_SCRATCH_FOLDER_H_
#define KNAPWEEDSTILE_HARNESS_SCRATCH_FOLDER_H_

#include <filesystem>

namespace knapweedstile::harness {

// A new folder under the system's temporary folder, removed by the destructor
// unless KNAP_KEEP is set in the environment.
class ScratchFolder {
 public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::filesystem::path& path() const noexcept { return path_; }
  std::string File(const std::string& name) const {
    return (path_ / name).string();
  }

 private:
  std::filesystem::path path_;
};

std::string ReadFile(const std::filesystem::path& path);

}  // namespace knapweedstile::harness

#endif  // KNAPWEEDSTILE_HARNESS_SCRATCH_FOLDER_H_
