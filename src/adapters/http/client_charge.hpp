/// @file
/// @brief The charge of one connection to the account of clients.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include <core/relay/client_budget.hpp>

namespace hawthornrelay::adapters::http
{

/// @brief A connection's entry in a client_budget, removed with this object.
///        Without a budget everything is allowed.
class client_charge
{
  public:
    using budget_ptr = std::shared_ptr<core::relay::client_budget>;

    explicit client_charge(budget_ptr budget) : budget(std::move(budget))
    {
    }

    ~client_charge()
    {
        this->close();
    }

    client_charge(const client_charge&) = delete;
    client_charge& operator=(const client_charge&) = delete;

    /// @brief Adds the connection; false if it must be refused.
    [[nodiscard]] bool open(bool is_protected,
                            std::size_t bytes,
                            core::relay::client_budget::closer closer)
    {
        if (this->budget == nullptr)
        {
            return true;
        }
        this->id =
            this->budget->open(is_protected, bytes, now(), std::move(closer));
        return this->id.has_value();
    }

    void close()
    {
        if (this->id)
        {
            this->budget->close(*std::exchange(this->id, std::nullopt));
        }
    }

    [[nodiscard]] bool try_hold(std::size_t total)
    {
        return !this->id || this->budget->try_hold(*this->id, total, now());
    }

    void hold(std::size_t total)
    {
        if (this->id)
        {
            this->budget->hold(*this->id, total, now());
        }
    }

    void set_phase(core::relay::client_phase phase)
    {
        if (this->id)
        {
            this->budget->set_phase(*this->id, phase, now());
        }
    }

    void on_progress(std::size_t bytes)
    {
        if (this->id)
        {
            this->budget->on_progress(*this->id, bytes, now());
        }
    }

    void count(core::relay::client_closure reason)
    {
        if (this->budget != nullptr)
        {
            this->budget->count(reason);
        }
    }

    /// @brief The limits; nullptr without a budget.
    [[nodiscard]] const core::relay::client_limits* limits() const
    {
        return this->budget == nullptr ? nullptr : &this->budget->limits();
    }

  private:
    static core::base::time_point now()
    {
        return core::base::time_point(
            std::chrono::duration_cast<core::base::duration>(
                std::chrono::steady_clock::now().time_since_epoch()));
    }

    budget_ptr budget;
    std::optional<core::relay::client_budget::client_id> id;
};

} // namespace hawthornrelay::adapters::http
