// Keys of the system's own directory in the store, all below "martenyard/".
#pragma once

namespace martenyard::roles {

/// One key per gateway, below its zone's name: its address for peers.
inline constexpr char kGatewayMachines[] = "martenyard/gateways/";
/// A few keys per zone, below its name: the gateways that aggregate its loads and watch the store.
inline constexpr char kAggregators[] = "martenyard/aggregators/";
inline constexpr char kLedgerPrefix[] = "martenyard/ledger/";
/// One key per storage machine: its current identity and address.
inline constexpr char kLedgerMachines[] = "martenyard/ledger/machines/";
/// The initial members of the ledger's groups; written once.
inline constexpr char kLedgerGroups[] = "martenyard/ledger/groups";
/// One key per retiring machine and group that no longer needs it.
inline constexpr char kLedgerEmptied[] = "martenyard/ledger/emptied/";

}  // namespace martenyard::roles
