/// @file
/// @brief Limits the memory that replicas' answers take in this process.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace hawthornrelay::core::relay
{

class answer_memory;

/// @brief The memory reserved for one answer, released with this object.
class answer_reservation
{
  public:
    /// @brief Reserves nothing yet.
    /// @param memory the memory to reserve from
    explicit answer_reservation(std::shared_ptr<answer_memory> memory)
        : memory(std::move(memory))
    {
    }

    ~answer_reservation();
    answer_reservation(const answer_reservation&) = delete;
    answer_reservation& operator=(const answer_reservation&) = delete;

    /// @brief Reserves memory until the answer's size is covered.
    /// @param size the answer's size in bytes; small answers need none
    /// @return false if the memory is exhausted; the reservation is unchanged
    [[nodiscard]] bool try_grow(std::size_t size);

  private:
    std::shared_ptr<answer_memory> memory;
    std::size_t reserved = 0;
};

/// @brief The memory available to all answers that are being received or wait
///        for the rest of their search.
///
/// A replica in trouble may send bytes without end. Without a common limit, a
/// few of them would exhaust the VM, however small the limit for one answer.
class answer_memory
{
  public:
    /// @brief Starts with all memory available.
    /// @param limit in bytes
    explicit answer_memory(std::size_t limit) : limit(limit)
    {
    }

    /// @brief The reserved memory in bytes.
    [[nodiscard]] std::size_t reserved() const
    {
        return this->used;
    }

  private:
    friend class answer_reservation;

    std::size_t limit;
    std::size_t used = 0;
};

} // namespace hawthornrelay::core::relay
