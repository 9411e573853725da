/// An immutable string whose copies share its bytes, for bodies that several holders keep.
#ifndef DANDELION_CODEC_SHARED_STRING_H
#define DANDELION_CODEC_SHARED_STRING_H

#include <fmt/format.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace dandelion {

class SharedString
{
public:
  SharedString() = default;
  SharedString(std::string aText) // NOLINT(google-explicit-constructor): a string is a value of it
    : text_(aText.empty() ? nullptr : std::make_shared<const std::string>(std::move(aText)))
  {
  }
  SharedString(const char* aText) // NOLINT(google-explicit-constructor)
    : SharedString(std::string(aText))
  {
  }

  const std::string& Text() const
  {
    static const std::string kEmpty;
    return text_ == nullptr ? kEmpty : *text_;
  }
  operator const std::string&() const // NOLINT(google-explicit-constructor)
  {
    return Text();
  }
  /// The bytes and their owner, for holders that keep only a part of them; null if empty.
  const std::shared_ptr<const std::string>& Shared() const { return text_; }
  // NOLINTBEGIN(readability-identifier-naming): names of a string, which algorithms expect
  size_t size() const { return Text().size(); }
  bool empty() const { return Text().empty(); }
  std::string::const_iterator begin() const { return Text().begin(); }
  std::string::const_iterator end() const { return Text().end(); }
  const char* c_str() const { return Text().c_str(); }
  size_t find(std::string_view aText) const { return Text().find(aText); }
  void assign(size_t aCount, char aValue) { *this = std::string(aCount, aValue); }
  void clear() { text_.reset(); }
  // NOLINTEND(readability-identifier-naming)
  friend bool operator==(const SharedString& aLeft, const SharedString& aRight)
  {
    return aLeft.Text() == aRight.Text();
  }
  friend bool operator!=(const SharedString& aLeft, const SharedString& aRight)
  {
    return !(aLeft == aRight);
  }

private:
  std::shared_ptr<const std::string> text_;
};

} // namespace dandelion
// NOLINTBEGIN(readability-identifier-naming): names that the library asks for
template<>
struct fmt::formatter<dandelion::SharedString> : fmt::formatter<std::string_view>
{
  template<class Context>
  auto format(const dandelion::SharedString& aText, Context& aContext) const
  {
    return fmt::formatter<std::string_view>::format(aText.Text(), aContext);
  }
};
// NOLINTEND(readability-identifier-naming)
#endif
