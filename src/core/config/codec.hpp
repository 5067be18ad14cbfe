/// @file
/// @brief Validates and decodes the JSON values stored in the platform.
#pragma once

#include <string>
#include <string_view>

#include <core/base/result.hpp>
#include <core/config/document.hpp>

namespace hawthornrelay::core::config
{

/// @brief The kinds of configuration items; each has its own key prefix.
enum class item_kind
{
    service,
    plan,
    customer,
    admin,
    zone,
    vm
};

/// @brief Identifies a configuration item.
struct item_key
{
    item_kind kind = item_kind::service;
    std::string name;
};

/// @brief Parses a platform key such as `config/plans/gold`.
/// @param key the platform's key
/// @return the item, or no_such_item if the key is not that of an item
base::result<item_key> parse_key(std::string_view key);

/// @brief Parses a kind's path segment, such as `plans`.
/// @param segment the plural name of the kind
/// @return the kind, or no_such_item
base::result<item_kind> parse_kind(std::string_view segment);

/// @brief The platform key of an item.
/// @param item the item
/// @return its key
std::string format_key(const item_key& item);

/// @brief Validates a value without applying it.
/// @param item the item to validate it for
/// @param value the JSON text
/// @return success, or invalid_value / unknown_field with the JSON member
base::result<void> check_value(const item_key& item, std::string_view value);

/// @brief Decodes a value and stores it in @p target.
/// @param item the item to set
/// @param value the JSON text; empty removes the item
/// @param target the document to change
/// @return success, or the error; on error @p target is unchanged
base::result<void>
apply_value(const item_key& item, std::string_view value, document& target);

} // namespace hawthornrelay::core::config
