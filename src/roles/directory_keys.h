// Keys of the system's own directory in the store.
#pragma once

namespace martenyard::roles {

/// Everything that the system itself keeps in the store lies under this prefix.
inline constexpr char kDirectoryPrefix[] = "martenyard/";
/// One key a gateway: where its peers reach it.
inline constexpr char kGatewayMachines[] = "martenyard/gateways/";
inline constexpr char kLedgerPrefix[] = "martenyard/ledger/";
/// One key a storage machine: its present identity and address.
inline constexpr char kLedgerMachines[] = "martenyard/ledger/machines/";
/// The founders of the ledger's groups; written once.
inline constexpr char kLedgerGroups[] = "martenyard/ledger/groups";
/// One key a machine to be emptied and group that no longer needs it.
inline constexpr char kLedgerEmptied[] = "martenyard/ledger/emptied/";

}  // namespace martenyard::roles
