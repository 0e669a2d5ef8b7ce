#ifndef YP_FRAMEWORK_GLOBAL_BLACKBOARD_H
#define YP_FRAMEWORK_GLOBAL_BLACKBOARD_H

#include "framework/global/rcucell.h"
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <typeindex>
#include <vector>

namespace yp {

/// One value on the blackboard: written by one controller, read by any thread.
template<class T>
class BlackboardEntry
{
public:
  using Observer = std::function<void(const Ref<const T>&)>;

  /// \return the current value; null before the first Publish
  Ref<const T> Load() const { return this->cell.Load(); }

  /// \return number of values published so far
  std::uint64_t Version() const { return this->version.load(std::memory_order_acquire); }

  /// Replaces the value, then calls the observers on the calling thread.
  void Publish(Ref<const T> aValue)
  {
    this->cell.Store(aValue);
    this->version.fetch_add(1, std::memory_order_acq_rel);
    for (const Observer& observer : this->observers) {
      observer(aValue);
    }
  }

  /// Adds an observer. Only before the first Publish.
  void Observe(Observer aObserver) { this->observers.push_back(std::move(aObserver)); }

private:
  RcuCell<T> cell;
  std::atomic<std::uint64_t> version{ 0 };
  std::vector<Observer> observers;
};

/// The shared state of a node: one entry a type.
class Blackboard
{
public:
  /// \return the entry that holds values of type T; created on first use
  template<class T>
  BlackboardEntry<T>& Entry()
  {
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::shared_ptr<void>& slot = this->entries[std::type_index(typeid(T))];
    if (!slot) {
      slot = std::make_shared<BlackboardEntry<T>>();
    }
    return *static_cast<BlackboardEntry<T>*>(slot.get());
  }

private:
  std::mutex mutex;
  std::map<std::type_index, std::shared_ptr<void>> entries;
};

} // namespace yp

#endif
