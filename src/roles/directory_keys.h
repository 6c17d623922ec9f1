// Keys of the system's own directory in the store, all below "martenyard/".
#pragma once

namespace martenyard::roles {

/// One key per gateway, below its zone's name: its address for peers.
inline constexpr char kGatewaysPrefix[] = "martenyard/gateways/";
/// A few keys per zone, below its name: the gateways that aggregate its loads and watch the store.
inline constexpr char kAggregatorsPrefix[] = "martenyard/aggregators/";
inline constexpr char kLedgerPrefix[] = "martenyard/ledger/";
/// One key per storage machine: its current identity and address.
inline constexpr char kLedgerMachinesPrefix[] = "martenyard/ledger/machines/";
/// The initial members of the ledger's groups; written once.
inline constexpr char kLedgerGroupsKey[] = "martenyard/ledger/groups";
/// One key per retiring machine and group that no longer needs it.
inline constexpr char kRetiredMachinesPrefix[] = "martenyard/ledger/emptied/";

}  // namespace martenyard::roles
