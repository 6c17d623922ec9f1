// Division of large zones into cells: which gateway belongs where, and when cells are added.
#include "aggregation/cells.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "absl/strings/str_cat.h"

namespace martenyard::aggregation {
namespace {

using std::chrono::milliseconds;

const instant kStart = instant() + std::chrono::hours(1);

contact Gateway(std::size_t number, const std::string& cell) {
  return {absl::StrCat("g", number), cell, {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}};
}

slot_table TableWithCells(std::size_t count) {
  slot_table table;
  for (std::size_t number = 0; number < count; ++number) {
    std::string cell = cell_name("z", number);
    table[cell][0] = {contact{absl::StrCat("holder-", number), cell, {}}, number + 1};
  }
  return table;
}

/// An aggregator of `cell` to which `count` gateways report.
aggregator AggregatorWithMembers(const std::string& cell, std::size_t count) {
  aggregator own({"own", cell, {"10.0.0.1", 9}}, 1);
  for (std::size_t number = 0; number < count; ++number) {
    member_report report;
    report.m_from = Gateway(number, cell);
    own.handle(kStart, report);
  }
  return own;
}

TEST(CellsTest, NamesOfOtherZonesAreNotTakenForCells) {
  EXPECT_EQ(cell_name("z", 0), "z");
  EXPECT_TRUE(is_cell_of("z", "z"));
  EXPECT_TRUE(is_cell_of("z", cell_name("z", 12)));
  EXPECT_FALSE(is_cell_of("z", "z2"));
  EXPECT_FALSE(is_cell_of("z", "z#"));
  EXPECT_FALSE(is_cell_of("z", "z#0"));
  EXPECT_FALSE(is_cell_of("z", "z#one"));
  EXPECT_FALSE(is_cell_of("z", "zz#1"));
  EXPECT_TRUE(is_cell_of("z#1", cell_name("z#1", 2))) << "a zone may be named like a cell";
  EXPECT_FALSE(is_cell_of("z", cell_name("z#1", 2)));
}

TEST(CellsTest, SmallZoneHasOneCell) {
  slot_table table = TableWithCells(1);
  for (std::size_t number = 0; number < 100; ++number) {
    EXPECT_EQ(cell_of_gateway(table, "z", Gateway(number, "z").m_name), "z");
  }
  EXPECT_EQ(cell_of_gateway({}, "z", "g1"), "z");
}

/// Guards against cells that become too large again, and against a move of all gateways when one
/// cell is added.
TEST(CellsTest, GatewaysAreSpreadEvenlyAndMoveOnlyToAddedCells) {
  constexpr std::size_t kGateways = 1000;
  constexpr std::size_t kCells = 16;
  slot_table before = TableWithCells(kCells);
  slot_table after = TableWithCells(kCells + 1);
  std::map<std::string, std::size_t> sizes;
  std::size_t moved = 0;
  for (std::size_t number = 0; number < kGateways; ++number) {
    std::string name = Gateway(number, "z").m_name;
    std::string cell = cell_of_gateway(before, "z", name);
    std::string next = cell_of_gateway(after, "z", name);
    ++sizes[cell];
    moved += cell == next ? 0 : 1;
    EXPECT_TRUE(cell == next || next == cell_name("z", kCells)) << name;
  }
  EXPECT_LT(moved, 2 * kGateways / kCells);
  EXPECT_EQ(sizes.size(), kCells);
  for (const auto& [cell, size] : sizes) {
    EXPECT_LE(size, cell_options().m_max_size) << cell;
  }
}

TEST(CellsTest, HolderOfASlotStaysInItsCell) {
  slot_table table = TableWithCells(4);
  for (std::size_t number = 0; number < 4; ++number) {
    EXPECT_EQ(cell_of_gateway(table, "z", absl::StrCat("holder-", number)), cell_name("z", number));
  }
}

/// Guards against a zone whose cells do not know each other's loads and changes.
TEST(CellsTest, NeighborsAreAllCellsOfTheZoneAndTheNearestOfOthers) {
  slot_table table = TableWithCells(3);
  for (const char* zone : {"a", "b", "y", "zz", "zzz"}) {
    table[zone][0] = {contact{"holder", zone, {}}, 9};
  }
  std::vector<std::string> neighbors = neighbor_cells(table, "z", "z#1", 2);
  EXPECT_EQ(neighbors, (std::vector<std::string>{"z", "z#2", "zz", "y"}));
}

TEST(CellPolicyTest, CellsAreAddedOnlyAboveTheMaximumSize) {
  cell_options options;
  slot_table table = TableWithCells(1);
  cell_policy policy("z", "own", options);
  policy.update(kStart - milliseconds(10000), table);
  EXPECT_TRUE(policy.plan(kStart, table, AggregatorWithMembers("z", options.m_max_size)).empty());
  EXPECT_EQ(policy.plan(kStart, table, AggregatorWithMembers("z", options.m_max_size + 1)).size(),
            1U);
}

TEST(CellPolicyTest, NumberOfCellsFollowsTheSizeOfTheZone) {
  cell_policy policy("z", "own");
  std::vector<new_cell> cells = policy.plan(kStart, {}, AggregatorWithMembers("z", 250));
  ASSERT_EQ(cells.size(), 3U);
  EXPECT_EQ(cells[0].m_name, "z#1");
  EXPECT_EQ(cells[2].m_name, "z#3");
  EXPECT_EQ(cells[0].m_holder.m_zone, "z#1");
  EXPECT_NE(cells[0].m_holder.m_name, cells[1].m_holder.m_name);
}

/// Guards against cells that are added again and again while gateways still move.
TEST(CellPolicyTest, GatewaysGetTimeToMoveBeforeMoreCellsAreAdded) {
  cell_options options;
  cell_policy policy("z", "own", options);
  aggregator own = AggregatorWithMembers("z", 150);
  EXPECT_FALSE(policy.plan(kStart, {}, own).empty());
  EXPECT_TRUE(policy.plan(kStart + options.m_settle_time / 2, {}, own).empty());
}

}  // namespace
}  // namespace martenyard::aggregation
