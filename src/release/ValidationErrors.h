/// Collects validation errors so that an operator sees them together. Internal to the library.
#ifndef DANDELION_RELEASE_VALIDATION_ERRORS_H
#define DANDELION_RELEASE_VALIDATION_ERRORS_H

#include "kernel/Kernel.h"

#include <string>

namespace dandelion {

class ValidationErrors
{
public:
  template<class... Args>
  void Add(ErrorKind aKind, fmt::format_string<Args...> aFormat, Args&&... aArgs)
  {
    if (count_ == 0) {
      kind_ = aKind;
    }
    ++count_;
    if (count_ <= kMaxListed) {
      text_ += text_.empty() ? "" : "; ";
      text_ += fmt::format(aFormat, std::forward<Args>(aArgs)...);
    }
  }

  bool HasErrors() const { return count_ > 0; }

  /// Returns Ok, or an error of the first problem's kind that lists the first `kMaxListed` problems
  /// and counts the others.
  absl::Status ToStatus() const
  {
    if (count_ == 0) {
      return absl::OkStatus();
    }
    std::string more = count_ > kMaxListed ? fmt::format("; and {} more", count_ - kMaxListed) : "";
    return MakeError(kind_, text_ + more);
  }

private:
  static constexpr int kMaxListed = 10;
  ErrorKind kind_ = ErrorKind::Internal;
  int count_ = 0;
  std::string text_;
};

} // namespace dandelion

#endif
