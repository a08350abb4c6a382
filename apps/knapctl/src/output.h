#ifndef KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_
#define KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::ctl {

// Text table with aligned columns; the first row is the heading.
class TextTable {
 public:
  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// Progress bar on standard error; draws nothing if that is not a terminal.
class ProgressBar {
 public:
  explicit ProgressBar(std::string title);
  ~ProgressBar();
  ProgressBar(const ProgressBar&) = delete;
  ProgressBar& operator=(const ProgressBar&) = delete;

  // Redraws the bar; `share` is the completed share from 0 to 1.
  void Update(double share, std::string_view note);

 private:
  std::string title_;
  bool terminal_;
  bool drawn_ = false;
};

// Prints one line to standard error.
void PrintError(std::string_view text);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_
