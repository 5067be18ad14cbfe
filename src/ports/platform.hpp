/// @file
/// @brief Interface of the platform's key-value service and VM list.
#pragma once

#include <functional>
#include <set>
#include <string>

#include <core/base/ids.hpp>
#include <core/base/result.hpp>
#include <core/base/time.hpp>
#include <core/config/store.hpp>

namespace hawthornrelay::ports
{

/// @brief Asynchronous client of the platform. Every method makes exactly one
///        call; every callback runs exactly once, also on failure.
class platform
{
  public:
    platform() = default;
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;
    virtual ~platform() = default;

    /// @brief Called with the changes after a revision.
    using watch_handler =
        std::function<void(core::base::result<core::config::delta>)>;

    /// @brief Called with the revision of a write.
    using write_handler =
        std::function<void(core::base::result<core::base::revision>)>;

    /// @brief Called with the names of removed VMs.
    using vm_handler =
        std::function<void(core::base::result<std::set<std::string>>)>;

    /// @brief Waits for changes after a revision.
    /// @param since the revision that the caller has
    /// @param wait how long to wait for a change
    /// @param handler receives the changes, an empty delta after a timeout, or
    ///        platform_unreachable
    virtual void watch(core::base::revision since,
                       core::base::duration wait,
                       watch_handler handler) = 0;

    /// @brief Writes a key if its revision is the expected one.
    /// @param key the key
    /// @param expected the key's revision; 0 if the key must not exist
    /// @param value the new value; empty deletes the key
    /// @param handler receives the write's revision, revision_conflict,
    ///        platform_unreachable (not written) or platform_answer_lost
    ///        (may have been written)
    virtual void compare_and_swap(const std::string& key,
                                  core::base::revision expected,
                                  const std::string& value,
                                  write_handler handler) = 0;

    /// @brief Lists the VMs that no longer exist; the list may lag.
    /// @param handler receives the names, or platform_unreachable
    virtual void gone_vms(vm_handler handler) = 0;
};

} // namespace hawthornrelay::ports
