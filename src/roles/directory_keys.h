// Keys of the system's own directory in the store. All lie under "martenyard/".
#pragma once

namespace martenyard::roles {

/// One key a gateway, below its zone's name: where its peers reach it.
inline constexpr char kGatewayMachines[] = "martenyard/gateways/";
/// A few keys a zone, below its name: the gateways that sum up for it and watch the store.
inline constexpr char kAggregators[] = "martenyard/aggregators/";
inline constexpr char kLedgerPrefix[] = "martenyard/ledger/";
/// One key a storage machine: its present identity and address.
inline constexpr char kLedgerMachines[] = "martenyard/ledger/machines/";
/// The founders of the ledger's groups; written once.
inline constexpr char kLedgerGroups[] = "martenyard/ledger/groups";
/// One key a machine to be emptied and group that no longer needs it.
inline constexpr char kLedgerEmptied[] = "martenyard/ledger/emptied/";

}  // namespace martenyard::roles
