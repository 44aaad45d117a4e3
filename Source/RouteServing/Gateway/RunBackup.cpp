// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RunBackup.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::UpstreamBoard;

void RunBackup::choose(UpstreamBoard& board, UpstreamBoard::Need need, Common::TimePoint now)
{
    m_holder = board.choose(need, now);
    if (m_holder)
        m_holder->unreadTokens = 0;
}

std::optional<UpstreamBoard::Choice> RunBackup::takeOver(const UpstreamBoard& board)
{
    auto holder = std::exchange(m_holder, std::nullopt);
    if (!holder || !board.isServing(holder->upstream.id))
        return std::nullopt;
    m_source = holder->upstream.endpoint;
    return holder;
}

void RunBackup::addHeaders(Common::HttpCall& call, std::string_view requestId) const
{
    if (m_holder)
        call.headers.push_back({ m_words.backupHeader, m_holder->upstream.endpoint.text() });
    if (m_source)
        call.headers.push_back({ m_words.continueHeader, m_words.copyName(*m_source, requestId) });
}

} // namespace Brassladder::RouteServing::Gateway
