#include "turn_ledger/streams/origin_record.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"

namespace martenyard::turn_ledger
{

namespace
{

/// Can't be in the ids of requests, which come in a header.
constexpr char separator = '\n';

/// @brief removes a field and the separator behind it from the beginning of `text`
std::optional<absl::string_view> take_field(absl::string_view& text)
{
    std::size_t end = text.find(separator);
    if (end == absl::string_view::npos)
    {
        return std::nullopt;
    }
    absl::string_view field = text.substr(0, end);
    text.remove_prefix(end + 1);
    return field;
}

}  // namespace

TurnId recording_prefix(const TurnId& stream)
{
    return TurnId(stream.value + separator);
}

TurnId recording_id(const TurnId& stream, const origin_record& record)
{
    std::string id = recording_prefix(stream).value;
    absl::StrAppend(&id, record.m_generation, std::string(1, separator), record.m_origin.m_service.value,
                    std::string(1, separator), record.m_origin.m_version);
    return TurnId(std::move(id));
}

std::optional<origin_record> record_of(const TurnId& stream, const TurnId& reservation)
{
    absl::string_view text = reservation.value;
    if (!absl::ConsumePrefix(&text, recording_prefix(stream).value))
    {
        return std::nullopt;
    }
    origin_record record;
    std::optional<absl::string_view> generation = take_field(text);
    if (!generation || !absl::SimpleAtoi(*generation, &record.m_generation))
    {
        return std::nullopt;
    }
    std::optional<absl::string_view> service = take_field(text);
    if (!service)
    {
        return std::nullopt;
    }
    record.m_origin.m_service = ServiceName(std::string(*service));
    record.m_origin.m_version = std::string(text);
    return record;
}

TurnId turn_of(const TurnId& reservation)
{
    return TurnId(reservation.value.substr(0, reservation.value.find(separator)));
}

origin_search::origin_search(TurnId stream)
    : m_stream(std::move(stream)), m_prefix(recording_prefix(m_stream))
{
}

bool origin_search::has_prefix(const TurnId& reservation) const
{
    return absl::StartsWith(reservation.value, m_prefix.value);
}

void origin_search::add_reservation(const TurnId& reservation)
{
    std::optional<origin_record> record = record_of(m_stream, reservation);
    if (!record || (m_latest && record->m_generation < m_latest->m_generation))
    {
        return;
    }
    bool repeated = m_latest && record->m_generation == m_latest->m_generation;
    m_ambiguous = repeated && (m_ambiguous || record->m_origin != m_latest->m_origin);
    m_latest = std::move(record);
}

std::optional<stream_origin> origin_search::result() const
{
    if (!m_latest || m_ambiguous)
    {
        return std::nullopt;
    }
    return m_latest->m_origin;
}

void common_origin_search::add_reservation(const TurnId& reservation)
{
    TurnId stream = turn_of(reservation);
    if (record_of(stream, reservation))
    {
        m_streams.try_emplace(stream, stream).first->second.add_reservation(reservation);
    }
}

std::optional<stream_origin> common_origin_search::result() const
{
    std::optional<stream_origin> common;
    for (const auto& [stream, search] : m_streams)
    {
        std::optional<stream_origin> origin = search.result();
        if (!origin || (common && origin != common))
        {
            return std::nullopt;
        }
        common = std::move(origin);
    }
    return common;
}

}  // namespace martenyard::turn_ledger
