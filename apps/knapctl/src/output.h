#ifndef KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_
#define KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedstile::ctl {

// Rows of text in aligned columns; the first row is the heading.
class TextTable {
 public:
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

// A bar on standard error for long work, drawn only on a terminal.
class ProgressBar {
 public:
  explicit ProgressBar(std::string title);
  ~ProgressBar();
  ProgressBar(const ProgressBar&) = delete;
  ProgressBar& operator=(const ProgressBar&) = delete;

  // `share` from 0 to 1.
  void Show(double share, std::string_view note);

 private:
  std::string title_;
  bool terminal_;
  bool drawn_ = false;
};

// One line on standard error.
void Complain(std::string_view text);

}  // namespace knapweedstile::ctl

#endif  // KNAPWEEDSTILE_KNAPCTL_OUTPUT_H_
