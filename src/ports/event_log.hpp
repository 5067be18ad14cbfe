/// @file
/// @brief Interface of the structured log.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <core/base/log_event.hpp>

namespace hawthornrelay::ports
{

/// @brief One named value of a log line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// @brief A log of numbered events with named values.
class event_log
{
  public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    virtual ~event_log() = default;

    /// @brief Tells whether the next line of an event would be written, with
    ///        regard to the log level and sampling.
    /// @param event the event
    /// @return false if the caller need not build the fields
    virtual bool is_enabled(core::base::log_event event) = 0;

    /// @brief Writes one line.
    /// @param event the event
    /// @param fields the named values
    virtual void write(core::base::log_event event,
                       std::initializer_list<log_field> fields) = 0;
};

} // namespace hawthornrelay::ports
