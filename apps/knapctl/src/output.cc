#include "output.h"

#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace knapweedstile::ctl {
namespace {

constexpr size_t kColumnGap = 2;
constexpr size_t kBarWidth = 32;

}  // namespace

std::string TextTable::Render() const {
  std::vector<size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text.append(widths[i] - row[i].size() + kColumnGap, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

ProgressBar::ProgressBar(std::string title)
    : title_(std::move(title)), terminal_(::isatty(STDERR_FILENO) == 1) {}

ProgressBar::~ProgressBar() {
  if (drawn_) fmt::print(stderr, "\n");
}

void ProgressBar::Update(double share, std::string_view note) {
  if (!terminal_) return;
  drawn_ = true;
  const auto filled =
      static_cast<size_t>(std::lround(std::clamp(share, 0.0, 1.0) * kBarWidth));
  fmt::print(stderr, "\r{} [{}{}] {}   ", title_, std::string(filled, '#'),
             std::string(kBarWidth - filled, '.'), note);
  std::fflush(stderr);
}

void PrintError(std::string_view text) { fmt::print(stderr, "{}\n", text); }

}  // namespace knapweedstile::ctl
