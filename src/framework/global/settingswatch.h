#ifndef YP_FRAMEWORK_GLOBAL_SETTINGSWATCH_H
#define YP_FRAMEWORK_GLOBAL_SETTINGSWATCH_H

#include "framework/global/clock.h"
#include "framework/global/itimers.h"
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

namespace yp {

/// Notices that a settings file was written to or replaced, also when no signal says so. Used on one thread.
class SettingsWatch
{
public:
  /// \param aPath      file to watch
  /// \param aOnChanged called after each change, not for the state at construction
  SettingsWatch(std::string aPath, ITimers& aTimers, const IClock& aClock, std::function<void()> aOnChanged);
  ~SettingsWatch();
  SettingsWatch(const SettingsWatch&) = delete;
  SettingsWatch& operator=(const SettingsWatch&) = delete;

private:
  /// What tells two states of a file apart without reading it.
  struct Stamp
  {
    std::filesystem::file_time_type written;
    std::uintmax_t size = 0;

    bool operator==(const Stamp& aOther) const
    {
      return this->written == aOther.written && this->size == aOther.size;
    }
  };

  /// \return the state of the file; nothing while it cannot be read, which is logged once
  std::optional<Stamp> Look();
  void Poll();
  void Arm();

  const std::string path;
  ITimers& timers;
  const IClock& clock;
  const std::function<void()> onChanged;
  std::optional<Stamp> known;
  bool missing = false;
  TimerId timer = 0;
};

} // namespace yp

#endif
