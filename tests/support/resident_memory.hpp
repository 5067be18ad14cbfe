/// @file
/// @brief The memory of the test process.
#pragma once

#include <cstddef>
#include <fstream>

#include <unistd.h>

namespace hawthornrelay::tests::support
{

/// @brief Resident memory of this process in bytes.
inline std::size_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace hawthornrelay::tests::support
