#ifndef YP_FRAMEWORK_GLOBAL_RCUCELL_H
#define YP_FRAMEWORK_GLOBAL_RCUCELL_H

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace yp {

/// Base of immutable values that several threads share by intrusive count.
template<class T>
using RefCounted = boost::intrusive_ref_counter<T, boost::thread_safe_counter>;

template<class T>
using Ref = boost::intrusive_ptr<T>;

/// Enters a read-side section of the process's RCU domain.
void
RcuReadLock();

/// Leaves a read-side section.
void
RcuReadUnlock();

/// Waits until all read-side sections that were open at the call have ended.
void
RcuSynchronize();

/// Holds one shared immutable value that readers load without locks and a writer replaces.
/// T derives from RefCounted<T>.
template<class T>
class RcuCell
{
public:
  RcuCell() = default;
  explicit RcuCell(Ref<const T> aValue) { this->Store(std::move(aValue)); }
  ~RcuCell() { this->Store(nullptr); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  /// \return the current value; null before the first Store
  Ref<const T> Load() const
  {
    RcuReadLock();
    Ref<const T> value(this->pointer.load(std::memory_order_acquire));
    RcuReadUnlock();
    return value;
  }

  /// Replaces the value; the old one is released after a grace period. Not for the request path.
  void Store(Ref<const T> aValue)
  {
    const T* previous = this->pointer.exchange(aValue.detach(), std::memory_order_acq_rel);
    if (previous == nullptr) {
      return;
    }
    // A reader may have loaded the pointer but not yet taken its count.
    RcuSynchronize();
    Ref<const T> release(previous, false);
  }

private:
  std::atomic<const T*> pointer{ nullptr };
};

} // namespace yp

#endif
