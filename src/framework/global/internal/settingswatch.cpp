#include "framework/global/settingswatch.h"
#include "framework/global/log.h"
#include <system_error>

namespace yp {

namespace {

// A change takes effect about as fast as one of the published configuration.
constexpr Duration kPollInterval = std::chrono::seconds(1);

} // namespace

SettingsWatch::SettingsWatch(std::string aPath,
                             ITimers& aTimers,
                             const IClock& aClock,
                             std::function<void()> aOnChanged)
  : path(std::move(aPath))
  , timers(aTimers)
  , clock(aClock)
  , onChanged(std::move(aOnChanged))
  , known(this->Look())
{
  this->Arm();
}

SettingsWatch::~SettingsWatch()
{
  this->timers.Cancel(this->timer);
}

std::optional<SettingsWatch::Stamp>
SettingsWatch::Look()
{
  std::error_code error;
  Stamp stamp;
  stamp.written = std::filesystem::last_write_time(this->path, error);
  if (!error) {
    stamp.size = std::filesystem::file_size(this->path, error);
  }
  if (error && !this->missing) {
    LogEvent(
      LogLevel::kWarning, "settings_unreadable", { { "file", this->path }, { "reason", error.message() } });
  }
  this->missing = static_cast<bool>(error);
  return error ? std::nullopt : std::optional<Stamp>(stamp);
}

void
SettingsWatch::Poll()
{
  this->timer = 0;
  const std::optional<Stamp> now = this->Look();
  const bool changed = now && !(this->known && *this->known == *now);
  if (changed) {
    this->known = now;
  }
  this->Arm();
  if (changed) {
    this->onChanged();
  }
}

void
SettingsWatch::Arm()
{
  this->timer = this->timers.At(this->clock.Now() + kPollInterval, [this] { this->Poll(); });
}

} // namespace yp
