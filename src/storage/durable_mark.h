// Which changes of a RocksDB folder had been synced, as its write-ahead logs tell.
//
// A torn end of a log is either a write that a loss of power left half done, which nobody was told
// of, or damage to what was acknowledged. RocksDB can't tell the two apart. So each write
// carries a mark that says up to which change the writes before it are durable: a log that reads
// less than any mark in it is damaged, and one that reads as much only lost what was under way.
#pragma once

#include <rocksdb/env.h>

#include <cstdint>
#include <string>

namespace martenyard::storage {

/// @param durable number of the last change that was synced before this mark is written.
/// @return the mark's bytes, to be written into the log only.
std::string EncodeDurableMark(std::uint64_t durable);

/// @return the highest whole mark in the folder's write-ahead logs, or 0. Reads all of them.
std::uint64_t LastDurableMark(rocksdb::Env& files, const std::string& folder);

/// @return whether all of the folder's write-ahead logs were written with marks.
bool MarksAreWritten(rocksdb::Env& files, const std::string& folder);

/// From now on all writes in the folder's write-ahead logs carry marks.
rocksdb::Status RecordMarksAreWritten(rocksdb::Env& files, const std::string& folder);

/// Makes what ended processes wrote to the folder's write-ahead logs durable.
rocksdb::Status SyncWriteAheadLogs(rocksdb::Env& files, const std::string& folder);

}  // namespace martenyard::storage
