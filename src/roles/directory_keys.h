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
/// The founders of the ledger's group; written once.
inline constexpr char kLedgerGroup[] = "martenyard/ledger/group";

}  // namespace martenyard::roles
