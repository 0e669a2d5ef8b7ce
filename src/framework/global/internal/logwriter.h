#ifndef YP_FRAMEWORK_GLOBAL_INTERNAL_LOGWRITER_H
#define YP_FRAMEWORK_GLOBAL_INTERNAL_LOGWRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace yp {

/// Writes lines to a descriptor without ever waiting for its reader. While the reader does not keep up, lines
/// are held up to a limit and dropped beyond it. Not thread-safe.
class LogWriter
{
public:
  /// \param aDescriptor stays open; its mode is not changed
  explicit LogWriter(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }

  /// Writes a line, holds it or drops it.
  /// \param aLine with its line end
  void Write(std::string_view aLine);

  /// Writes what is held as far as the reader takes it.
  void Flush();

  /// \return lines dropped since the last call; 0 while lines are still held
  std::uint64_t TakeDropped();

private:
  const int descriptor;
  std::string held;
  std::uint64_t dropped = 0;
};

} // namespace yp

#endif
