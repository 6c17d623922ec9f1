// Strongly typed identifiers shared by every layer.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace martenyard {

/// A strongly typed identifier; `Tag` makes identifiers of different kinds distinct types.
template <typename Tag, typename Value>
struct TypedId {
  Value value{};

  TypedId() = default;
  explicit TypedId(Value initial) : value(std::move(initial)) {}

  friend auto operator<=>(const TypedId&, const TypedId&) = default;
  friend bool operator==(const TypedId&, const TypedId&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const TypedId& id) {
    return H::combine(std::move(state), id.value);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// Identifies a daemon's stored state: a daemon that lost its disk or memory gets a new id.
using NodeId = TypedId<struct NodeTag, std::uint64_t>;
/// One replicated log; programs are hashed to groups.
using GroupId = TypedId<struct GroupTag, std::uint32_t>;
/// One program (a chain of calls), unique within the whole system.
using ProgramId = TypedId<struct ProgramTag, std::string>;
/// The caller's Idempotency-Key, unique within its program.
using CallKey = TypedId<struct CallKeyTag, std::string>;
/// A partner's short name, from the settings.
using PartnerName = TypedId<struct PartnerTag, std::string>;
/// Name of a pool of interchangeable runners.
using ServiceName = TypedId<struct ServiceTag, std::string>;
/// The platform's name of a model engine, tool or application back end.
using BackendName = TypedId<struct BackendTag, std::string>;
/// One gateway's attempt to start one call. Only retries of the same request reuse it, so that a
/// gateway that restarted or abandoned the call is not mistaken for the one running it.
using AdmissionId = TypedId<struct AdmissionTag, std::uint64_t>;
/// A failure domain, as named in the settings.
using ZoneName = TypedId<struct ZoneTag, std::string>;

/// No node; real ids are never zero.
inline const NodeId kNoNode{0};

}  // namespace martenyard
