#include <core/relay/answer_memory.hpp>

namespace hawthornrelay::core::relay
{

namespace
{

/// Answers up to this size need no reservation, so that usual answers are
/// received while others exhaust the memory.
constexpr std::size_t unreserved_size = 16U << 10U;

} // namespace

answer_reservation::~answer_reservation()
{
    this->memory->used -= this->reserved;
}

bool answer_reservation::try_grow(std::size_t size)
{
    if (size <= unreserved_size || size <= this->reserved)
    {
        return true;
    }
    const auto missing = size - this->reserved;
    if (missing > this->memory->limit - this->memory->used)
    {
        return false;
    }
    this->memory->used += missing;
    this->reserved = size;
    return true;
}

} // namespace hawthornrelay::core::relay
