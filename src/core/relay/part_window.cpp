#include <core/relay/part_window.hpp>

#include <algorithm>

namespace hawthornrelay::core::relay
{

using base::time_point;

void part_window::on_registered(time_point now)
{
    this->registered_at = now;
    this->confirmed_at = now;
}

void part_window::on_renewed(time_point now)
{
    this->confirmed_at = now;
}

void part_window::on_ended()
{
    this->registered_at.reset();
}

void part_window::on_copy_current(time_point at)
{
    this->copy_current_at = std::max(this->copy_current_at.value_or(at), at);
}

bool part_window::is_open(time_point now) const
{
    return this->registered_at && this->copy_current_at &&
           now - *this->registered_at >= join_wait &&
           now - this->confirmed_at <= max_unconfirmed &&
           now - *this->copy_current_at <= max_copy_age;
}

} // namespace hawthornrelay::core::relay
