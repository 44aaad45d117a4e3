// SPDX-License-Identifier: Apache-2.0
#pragma once

// <utility> comes first: Asio 1.74 uses std::exchange in awaitable.hpp without including it.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/fiber/all.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>
