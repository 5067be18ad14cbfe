/// @file
/// @brief Limits the requests of organisations over all nodes.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/quota_account.hpp>
#include <core/relay/quota_message.hpp>
#include <core/relay/quota_shares.hpp>

namespace hawthornrelay::core::relay
{

/// @brief Settings of a quota_ledger.
struct quota_settings
{
    std::string node;
    std::uint64_t incarnation = 0; ///< increases with each start of the node
    bool is_first_start = false;   ///< of the whole system
    base::duration window = std::chrono::seconds(5); ///< site setting
    double overshoot = 0.1;                          ///< site setting
    double slack = 20;                               ///< site setting
};

/// @brief Whether a request is within its organisation's quota.
struct quota_decision
{
    bool is_admitted = false;
    /// If not admitted: credit has been asked for, and the same request should
    /// be tried again after retry_after, for at most quota_wait_limit.
    bool may_wait = false;
    base::duration retry_after{};
};

/// How long a request may wait for credit: the round trip to another zone, and
/// one lost datagram.
constexpr std::chrono::milliseconds quota_wait_limit{100};

/// @brief Counters of a quota_ledger, for the metrics page.
struct quota_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t asks = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t asks_unanswered = 0;
};

/// @brief Admits requests so that in every window all nodes together let at
///        most (rate x window + burst) x (1 + overshoot) + slack through.
///
/// See docs/design/quotas.md. The quota is split into shares with one spender
/// each (quota_shares). The shares of an organisation are pooled at one node,
/// which grants credit to the nodes that receive the requests.
class quota_ledger
{
  public:
    /// Sends a datagram to the node of a name; it may be lost.
    using sender = std::function<void(const std::string&, quota_message)>;

    quota_ledger(quota_settings settings,
                 sender send,
                 base::time_point started);

    /// @brief Takes the credit for one request.
    /// @param organisation its name
    /// @param limit its limit over all nodes; the rate must be positive
    /// @param now the current time
    quota_decision try_take(std::string_view organisation,
                            const quota_limit& limit,
                            base::time_point now);

    /// @brief Returns the credit of a request that has reached no replica and
    ///        never will. To be called soon after try_take().
    void give_back(std::string_view organisation, base::time_point now);

    /// @brief Sets how quotas are divided; see quota_shares::set_division().
    void set_division(unsigned entry_count,
                      bool is_holder,
                      bool is_restart,
                      base::time_point now);

    /// @brief Sets the other entries whose beacons are received.
    void set_heard_entries(std::vector<std::string> names,
                           base::time_point now);

    /// @brief Changes the bound for later requests.
    void set_bounds(base::duration window, double overshoot, double slack);

    /// @brief Renews leases with other nodes while any organisation with a
    ///        limit is in use; to be called every quota_interval.
    void exchange(base::time_point now);

    /// @brief Applies a datagram of another node.
    void on_message(const quota_message& message, base::time_point now);

    /// @brief True if this node owns a share and may use it.
    [[nodiscard]] bool holds_share(base::time_point now) const
    {
        return this->shares.holds_share(now);
    }

    /// @brief The rate and burst by which requests are admitted, so that
    ///        arrivals that are delayed by some 100 ms keep the bound.
    [[nodiscard]] quota_limit effective(const quota_limit& limit) const;

    quota_counters counters;

  private:
    struct granted_credit
    {
        double amount = 0;
        base::time_point until{};
    };

    struct sent_grant
    {
        std::uint64_t asked_at = 0;
        double credit = 0;
        base::time_point sent_at{};
    };

    struct organisation_state
    {
        quota_limit limit;
        quota_account account;
        std::deque<granted_credit> granted;
        double returned = 0;        ///< lapsed or unused, for the pooling node
        std::string asked_node;     ///< the node of the grants
        std::uint64_t asked_at = 0; ///< sent_at of the open ask; 0: none
        base::time_point asked_time{};
        std::uint64_t last_granted = 0; ///< asked_at of the last grant
        /// Grants of this node, by the node that asked.
        std::map<std::string, sent_grant, std::less<>> sent_grants;
        /// Latest tries of waiting requests; each tries once per wait_step.
        std::deque<base::time_point> waiting;
        base::time_point denied_until{};
        base::time_point promised{};    ///< when credit is available
        base::time_point short_since{}; ///< start of the last shortage
        base::time_point short_at{};    ///< last request without credit
        base::time_point next_free{};   ///< latest time promised in Retry-After
        double recent_rate = 0;         ///< requests per second at this node
        base::time_point last_used{};
    };

    [[nodiscard]] static double granted_amount(const organisation_state& state);
    static void expire_granted(organisation_state& state, base::time_point now);
    static bool take_granted(organisation_state& state);
    static void count_waiting(organisation_state& state, base::time_point now);
    static void count_use(organisation_state& state, base::time_point now);
    bool take_pooled(organisation_state& state,
                     std::size_t slot,
                     double amount,
                     base::time_point now);
    base::duration unspent_time(std::size_t slot, base::time_point now);
    void
    fill(organisation_state& state, std::size_t slot, base::time_point now);
    void ask(const std::string& organisation,
             organisation_state& state,
             const std::string& node,
             double wanted,
             base::time_point now);
    /// Requests that come within a short time if the recent rate goes on.
    [[nodiscard]] static double expected_use(const organisation_state& state);
    void ask_ahead(const std::string& organisation,
                   organisation_state& state,
                   const std::string& node,
                   base::time_point now);
    /// The time until a request that lacks credit should come again.
    static base::duration promise(organisation_state& state,
                                  base::time_point first,
                                  base::time_point now);
    quota_decision refuse(organisation_state& state, base::time_point now);
    organisation_state& state_of(std::string_view organisation);
    quota_grant grant(const quota_ask& ask,
                      const std::string& node,
                      std::uint64_t asked_at,
                      base::time_point now);
    static void take_back_lost_grant(organisation_state& state,
                                     const quota_ask& ask,
                                     const std::string& node,
                                     base::time_point now);
    /// Tells whether more shares of a slot are expected within milliseconds.
    [[nodiscard]] bool is_pool_growing(const organisation_state& state,
                                       std::size_t slot,
                                       base::time_point now) const;
    /// Tells whether an ask, or a later one of its node, was answered before.
    [[nodiscard]] bool is_answered(const quota_ask& ask,
                                   const quota_message& message) const;
    void on_grant(const quota_grant& grant,
                  const std::string& node,
                  base::time_point now);
    void on_use(base::time_point now, base::duration age);
    [[nodiscard]] bool is_in_use(base::time_point now) const;
    quota_message new_message(base::time_point now);
    void transmit(const std::string& to,
                  quota_message message,
                  base::time_point now);
    /// Returns granted credit that was not used in time.
    void return_lapsed(base::time_point now);
    void remove_unused(base::time_point now);

    quota_settings settings;
    sender send;
    quota_shares shares;
    std::map<std::string, organisation_state, std::less<>> organisations;
    std::uint64_t last_stamp = 0;
    base::time_point last_use{};
    bool has_use = false;
    base::time_point in_use_since{};
};

/// Interval of quota_ledger::exchange().
constexpr std::chrono::milliseconds quota_interval{200};

} // namespace hawthornrelay::core::relay
