#ifndef YP_OVERLAY_ICONFIGREADER_H
#define YP_OVERLAY_ICONFIGREADER_H

#include <cstdint>

namespace yp {

enum class ConfigReaderState
{
  kIdle,     ///< another node reads
  kWatching, ///< waits for a new ticket
  kReading,  ///< fetches tickets
  kBackoff   ///< waits after a failure
};

/// \return the lower-case name of a state
const char*
ToString(ConfigReaderState aState);

/// Counters of a configuration reader.
struct ConfigReaderStatus
{
  ConfigReaderState state = ConfigReaderState::kIdle;
  bool stale = false; ///< the last answer named a lower head than was known before the call
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
};

/// How a reader may call the service.
enum class ReadMode
{
  kOff,
  kCautious, ///< the view is unconfirmed: one call per 5 s after a random delay
  kFull      ///< at most 5 calls a second
};

/// Reads tickets from the configuration service while its node is among the readers.
class IConfigReader
{
public:
  virtual ~IConfigReader() = default;

  /// Continues with the given mode. To be called every 100 ms or so.
  /// \param aMode how the service may be called now
  /// \param aDeferRead true while a peer's state transfer brings the tickets
  virtual void Tick(ReadMode aMode, bool aDeferRead) = 0;

  virtual ConfigReaderStatus Status() const = 0;
};

} // namespace yp

#endif
