#include "roles/ledger/persisted_mirrors.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "roles/directory_keys.h"
#include "storage/small_file.h"
#include "wire/sealed.h"

namespace martenyard::roles
{

using event_log::Line;

namespace
{

constexpr std::uint32_t file_format = 1;

/// the mirrors' names in files and log lines, in the order of aggregation::mirror_revisions
constexpr std::array<const char*, aggregation::mirror_count> mirror_names{"configuration", "runners",
                                                                          "ledger_directory", "aggregators"};

/// @brief the file format of a mirror
struct mirror_file
{
    std::uint32_t m_format = file_format;
    std::string m_prefix;
    store::mirror_delta m_items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(m_format, m_prefix, m_items);
    }
};

void ignore_change(const store::StoreChange& /*change*/)
{
}
/// @return options of the mirror of the operator's keys
store::MirrorOptions operator_mirror_options()
{
    store::MirrorOptions options;
    options.announces_prefix = true;
    return options;
}

void ignore_reachability(bool /*reachable*/, store::StoreStatus /*status*/)
{
}

}  // namespace

persisted_mirrors::persisted_mirrors(async_http::asio::io_context& context, const RoleSettings& settings,
                                     const PlatformFormats& formats, store::MetadataStore& store,
                                     wire::Transport& transport, wire::Transport& bulk_transport,
                                     store::PrefixMirror& directory,
                                     std::function<turn_ledger::Machine()> self, event_log::EventLog& log,
                                     const persisted_mirrors_options& options)
    : m_settings(settings),
      m_transport(transport),
      m_log(log),
      m_options(options),
      m_configuration(context, store, formats.OperatorPrefix(), ignore_change, ignore_reachability,
                      operator_mirror_options()),
      m_runners(context, store, formats.RunnersPrefix(), ignore_change, ignore_reachability),
      m_aggregators(context, store, kAggregatorsPrefix, ignore_change, ignore_reachability),
      m_mirrors{&m_configuration, &m_runners, &directory, &m_aggregators},
      m_sender(transport, bulk_transport, m_mirrors, std::move(self))
{
}

void persisted_mirrors::start()
{
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror)
    {
        load(mirror);
    }
}

std::string persisted_mirrors::path(std::size_t mirror) const
{
    return absl::StrCat(m_settings.data_folder, "/copy-", mirror_names[mirror]);
}

void persisted_mirrors::load(std::size_t mirror)
{
    std::optional<std::string> bytes = storage::ReadSmallFile(path(mirror));
    if (!bytes)
    {
        return;  // First start on this disk.
    }
    auto file = wire::Unseal<mirror_file>(*bytes);
    // Earlier builds mirrored a narrower prefix; their delta does not count as complete.
    bool usable = file && file->m_format == file_format &&
                  absl::StartsWith(file->m_prefix, m_mirrors[mirror]->prefix());
    if (!usable)
    {
        m_log.Write(Line("kept_copy_unreadable")
                        .Text("copy", mirror_names[mirror])
                        .Number("bytes", static_cast<std::int64_t>(bytes->size())));
        return;
    }
    m_mirrors[mirror]->ApplyDelta(file->m_items);
    m_states[mirror].m_persisted_change = m_mirrors[mirror]->last_change();
    m_log.Write(Line("kept_copy_read")
                    .Text("copy", mirror_names[mirror])
                    .Number("items", static_cast<std::int64_t>(file->m_items.m_items.size()))
                    .Number("revision", static_cast<std::int64_t>(file->m_items.m_last_change)));
}

void persisted_mirrors::save(instant now, std::size_t mirror)
{
    const store::PrefixMirror& known = *m_mirrors[mirror];
    std::string bytes = wire::Seal(mirror_file{file_format, known.prefix(), known.ChangesSince(0)});
    std::chrono::milliseconds throttled_interval(1000 * bytes.size() /
                                                 m_options.m_max_write_bytes_per_second);
    persistence_state& state = m_states[mirror];
    state.m_next_write = now + std::max(m_options.m_min_write_interval, throttled_interval);
    std::string failure = storage::ReplaceFile(path(mirror), bytes);
    if (!failure.empty())
    {
        m_log.Write(Line("kept_copy_unsaved").Text("copy", mirror_names[mirror]).Text("detail", failure));
        return;  // Retried after the interval.
    }
    state.m_persisted_change = known.last_change();
}

void persisted_mirrors::tick()
{
    instant now = SteadyInstant();
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror)
    {
        bool changed = m_mirrors[mirror]->last_change() != m_states[mirror].m_persisted_change;
        if (changed && now >= m_states[mirror].m_next_write)
        {
            save(now, mirror);
            return;
        }
    }
}

void persisted_mirrors::on_datagram(const std::string& payload)
{
    auto message = wire::Decode<aggregation::datagram>(payload);
    if (!message)
    {
        m_log.Write(Line("datagram_unreadable").Number("bytes", static_cast<std::int64_t>(payload.size())));
        return;
    }
    std::visit(
        [&](const auto& received)
        {
            handle(SteadyInstant(), received);
        },
        *message);
}

void persisted_mirrors::handle(instant now, const aggregation::digest& received)
{
    for (std::size_t mirror = 0; mirror < m_mirrors.size(); ++mirror)
    {
        std::uint64_t known = m_mirrors[mirror]->last_change();
        std::optional<instant>& requested_at = m_states[mirror].m_requested_at;
        bool recently_requested = requested_at && now - *requested_at < m_options.m_request_retry_interval;
        if (received.m_revisions[mirror] <= known || recently_requested)
        {
            continue;
        }
        requested_at = now;
        store::news_request request{static_cast<std::uint8_t>(mirror), known, m_settings.address,
                                    m_settings.internal_port};
        m_transport.SendDatagram(received.m_from.m_endpoint, wire::Encode(aggregation::datagram(request)));
    }
}

void persisted_mirrors::handle(instant /*now*/, const store::news_request& request)
{
    bool has_changes = request.m_mirror < m_mirrors.size() && m_mirrors[request.m_mirror]->last_change() > 0;
    if (has_changes)  // If not, the peer tries another storage machine.
    {
        m_sender.send({request.m_address, request.m_port}, request.m_mirror, request.m_last_change);
    }
}

void persisted_mirrors::on_changes(const store::news_reply& reply)
{
    if (reply.m_mirror >= m_mirrors.size())
    {
        m_log.Write(Line("news_unreadable").Number("mirror", reply.m_mirror));
        return;
    }
    m_states[reply.m_mirror].m_requested_at.reset();
    m_mirrors[reply.m_mirror]->ApplyDelta(reply.m_delta);
}

}  // namespace martenyard::roles
