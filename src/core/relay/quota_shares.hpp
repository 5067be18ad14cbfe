/// @file
/// @brief Shares of all quotas that nodes own, lend and borrow.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/base/time.hpp>
#include <core/relay/quota_message.hpp>

namespace hawthornrelay::core::relay
{

/// Organisations are spread over this many slots; each slot is pooled at one
/// node.
constexpr std::size_t quota_slot_count = 16;

/// Number of nodes that own a share. The others get credit from these. It
/// bounds the messages between owners, which each exchange with all others.
constexpr std::size_t max_quota_holders = 16;

/// @brief The slot of an organisation, the same at all nodes.
std::size_t quota_slot_of(std::string_view organisation);

/// @brief The key for which nodes are ranked as owners of shares.
constexpr std::string_view quota_rank_key = "quota";

/// @brief A share that this node may spend for a slot.
struct quota_share
{
    std::string lender; ///< the owner; this node itself or another
    double fraction = 0;
    base::time_point since{}; ///< unspent from this time on
};

/// @brief Tells which shares this node may spend for each slot.
///
/// Each of up to max_quota_holders nodes owns an equal share of every quota. It
/// lends the share of a slot to the node that pools the slot, under a lease
/// that ends for the borrower before it ends for the lender, whatever the
/// delays: it starts at the sending of the borrower's message that the lender
/// has received last. Each share has one spender at any time.
class quota_shares
{
  public:
    /// For a slot: the time in which the credit that is left in this node's
    /// share comes in, the least of all organisations; duration::max() if no
    /// credit is missing.
    using unspent_time =
        std::function<base::duration(std::size_t, base::time_point)>;

    /// @brief Creates an object without a share.
    /// @param own_name name of this node
    /// @param incarnation increases with each start of the node
    /// @param is_history_known true if no earlier process can have used quota
    /// @param window the span of the bound; a node that joins waits for it,
    ///        since others may still divide by fewer owners
    /// @param started start time of the process
    /// @param unspent asked before a slot is lent
    quota_shares(std::string own_name,
                 std::uint64_t incarnation,
                 bool is_history_known,
                 base::duration window,
                 base::time_point started,
                 unspent_time unspent);

    /// @brief Sets how quotas are divided.
    /// @param entry_count number of entries, including those that ended lately
    /// @param is_holder whether this node is one of the first
    ///        max_quota_holders entries by rank
    /// @param is_restart whether an earlier process of this node has been
    ///        counted by the others until now
    /// @param now the current time
    void set_division(unsigned entry_count,
                      bool is_holder,
                      bool is_restart,
                      base::time_point now);

    /// @brief Changes the span of the bound.
    void set_window(base::duration changed)
    {
        this->window = changed;
    }

    /// @brief Sets the other entries whose beacons are received.
    void set_heard_entries(std::vector<std::string> names,
                           base::time_point now);

    /// @brief The node that pools a slot; empty if none is known.
    [[nodiscard]] const std::string& pooling_node(std::size_t slot) const
    {
        return this->pooling[slot];
    }

    /// @brief Since when that node pools the slot, in the view of this node.
    [[nodiscard]] base::time_point pooling_since(std::size_t slot) const
    {
        return this->pooling_from[slot];
    }

    /// @brief Other nodes to send shares to.
    [[nodiscard]] const std::vector<std::string>& partners() const
    {
        return this->candidates;
    }

    /// @brief Takes back and lends slots; to be called regularly.
    void update(base::time_point now);

    /// @brief Tells whether update() would lend a slot to a node.
    [[nodiscard]] bool can_lend_to(const std::string& node,
                                   base::time_point now) const;

    /// @brief Writes this node's lease for a recipient into a message.
    void lend(const std::string& recipient,
              quota_message& message,
              base::time_point now);

    /// @brief Applies the sender's lease and its receipt of our messages.
    ///        Leases in an overtaken message are ignored.
    /// @return false for a duplicate or a message of an earlier process
    bool on_message(const quota_message& message, base::time_point now);

    /// @brief The shares that this node may spend for a slot at this time.
    [[nodiscard]] std::vector<quota_share> usable(std::size_t slot,
                                                  base::time_point now) const;

    /// @brief Tells whether this node owns a share and may use it.
    [[nodiscard]] bool holds_share(base::time_point now) const;

    /// @brief The newest message received from a node, for the reply.
    void write_receipt(const std::string& recipient,
                       quota_message& message) const;

    /// @brief Number of slots that other nodes lend to this one.
    [[nodiscard]] std::size_t borrowed_count(base::time_point now) const;

  private:
    /// One slot of this node's own share.
    struct own_slot
    {
        std::string lent_to; ///< empty if this node may spend it
        std::uint64_t borrower_incarnation = 0;
        base::time_point locked_until{}; ///< the lease's end at this node
        std::uint64_t recalled_at = 0;   ///< first message without the slot
        base::time_point in_hand_since{};
        base::duration idle{}; ///< before it was lent; zero once received
        std::uint64_t lent_at = 0;
    };

    struct borrowed_slot
    {
        base::time_point since{};
        base::time_point until{};
        bool is_lent = false;
    };

    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t last_sent_at = 0; ///< on the peer's clock
        base::time_point last_received{};
        unsigned divisor = 0;
        std::array<borrowed_slot, quota_slot_count> borrowed{};
    };

    void select_pooling_nodes(base::time_point now);
    [[nodiscard]] bool hears_majority(unsigned count) const;
    [[nodiscard]] bool may_lend_to(const std::string& node,
                                   base::time_point now) const;
    void update_slot(std::size_t slot, base::time_point now);
    void hold_all_from(base::time_point since);
    void release(own_slot& slot, base::time_point now) const;
    void on_receipt(const quota_message& message, base::time_point now);
    void borrow(peer_state& peer,
                const quota_message& message,
                base::time_point now) const;

    std::string own_name;
    std::uint64_t incarnation;
    bool is_history_known;
    base::duration window;
    base::time_point started;
    unspent_time unspent;
    unsigned entry_count = 0;
    bool is_holder = false;
    bool was_holder = false;
    base::time_point holds_from{};
    base::time_point majority_heard_at{};
    std::optional<base::time_point> fewer_since; ///< without a majority
    std::vector<std::string> heard;
    std::vector<std::string> candidates;
    std::array<std::string, quota_slot_count> pooling;
    std::array<base::time_point, quota_slot_count> pooling_from{};
    std::array<own_slot, quota_slot_count> slots;
    std::map<std::string, peer_state, std::less<>> peers;
};

} // namespace hawthornrelay::core::relay
