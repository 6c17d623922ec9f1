// Marks in RocksDB's write-ahead logs that record which changes had been synced.
//
// A torn tail of a log is either an unacknowledged write that a power failure interrupted, or
// corruption of acknowledged data. RocksDB cannot distinguish them. So each write carries a mark
// with the sequence number up to which earlier writes are durable: a log that recovers fewer
// changes than its highest mark is damaged, otherwise it only lost unacknowledged writes.
#pragma once

#include <rocksdb/env.h>

#include <cstdint>
#include <string>

namespace martenyard::storage {

/// @param durable sequence number of the last synced change.
/// @return the encoded mark, to be written to the write-ahead log only.
std::string EncodeDurableMark(std::uint64_t durable);

/// @return the highest complete mark in the directory's write-ahead logs, or 0. Reads all of them.
std::uint64_t LastDurableMark(rocksdb::Env& files, const std::string& folder);

/// @return whether all write-ahead logs of the directory were written with marks.
bool MarksAreWritten(rocksdb::Env& files, const std::string& folder);

/// Records that all further writes to the directory's write-ahead logs carry marks.
rocksdb::Status RecordMarksAreWritten(rocksdb::Env& files, const std::string& folder);

/// Syncs what earlier processes wrote to the directory's write-ahead logs.
rocksdb::Status SyncWriteAheadLogs(rocksdb::Env& files, const std::string& folder);

}  // namespace martenyard::storage
