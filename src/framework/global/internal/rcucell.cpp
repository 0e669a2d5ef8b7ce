#include "framework/global/rcucell.h"
#include <urcu-bp.h>

namespace yp {

void
RcuReadLock()
{
  urcu_bp_read_lock();
}

void
RcuReadUnlock()
{
  urcu_bp_read_unlock();
}

void
RcuSynchronize()
{
  urcu_bp_synchronize_rcu();
}

} // namespace yp
