// Compatibility of stored records and peer frames. This version reads each of them as written by
// version 0.1.0 before the identifiers were renamed in 2026-12, and writes the same bytes.
// Truncated or oversized input and frames of another version are rejected; unknown fields are
// ignored.
#include <gtest/gtest.h>

#include "dunlinknot/wire/peer.hpp"
#include "dunlinknot/wire/records.hpp"

namespace dunlinknot::wire {
namespace {

// The golden bytes, in hexadecimal digits.
constexpr std::string_view kJob =
    "82a26174cf0000018bcfe5687ba36a6f62de0014a26964aa72756e2d303030343132a6646f636b6574a57472"
    "61696ea463726577a6766973696f6ea57368617065a8656e73656d626c65a472616e6ba468696768a6706965"
    "63657310a5636f72657308a46770757301a572616d476240a662756e646c65a6696d672d3037a673697a6547"
    "62cb4019000000000000a47269677391a26738a479617264a161a8746f676574686572c3a56170617274c2a7"
    "6c6f616e657273c3a77265636b6f6e53ccf0aa6d61726b4576657279531ea96d61726b436f73745304a46475"
    "6553cd0384";
// The job record of a service as written by the version in production (deploy/service.toml).
constexpr std::string_view kServiceJob =
    "82a26174cf0000018bcfe5687ba36a6f62de0014a26964aa72756e2d303030343133a6646f636b6574ad636174"
    "616c6f6775652d617069a463726577a76669746d656e74a57368617065a773657276696365a472616e6ba86372"
    "69746963616ca670696563657303a5636f72657301a46770757300a572616d4762cb400999999999999aa66275"
    "6e646c65a66170692d3037a673697a65476201a472696773c0a479617264c0a8746f676574686572c2a5617061"
    "7274c3a76c6f616e657273c2a77265636b6f6e5300aa6d61726b45766572795300a96d61726b436f73745300a4"
    "64756553c0";
constexpr std::string_view kFinal = "82a963616e63656c6c6564c3a57461736b7310";
constexpr std::string_view kLeader = "82a46e6f6465a864756e6c696e2d32a565706f636829";
constexpr std::string_view kEpoch = "81a16e29";
constexpr std::string_view kDone = "81a462697473a3393032";
constexpr std::string_view kMachineRecord =
    "85a3726967a26738a479617264a161a761646472657373af31302e312e302e3233323a39303030a473706f74"
    "c3a46a6f62739187a36a6f62aa72756e2d303030343132a463726577a6766973696f6ea467616e67c3a46370"
    "757308a46770757301a2676240a26f6e929200ce290000019203ce29000001";
constexpr std::string_view kCatalog =
    "81a472696773918aa56c6162656ca26738a5636f72657360a46770757308a572616d4762cd0300a763616368"
    "654762ccc8ab666574636847625065725301a4726174650ca86c6f775072696365cb4012000000000000a873"
    "746172747570532da5796172647392a161a162";
constexpr std::string_view kStatus =
    "444c4e4b0200010070000000070000000000000006000000000000002900000000000000af01000000000000"
    "78000000905f0100230000000700000064756e6c696e2d320000000000000000000000000000000000000000"
    "0000000064756e6c696e2d32000000000000000000000000000000000000000000000000";
constexpr std::string_view kCancelled =
    "444c4e4b020003001800000072756e2d3030303431320000000000000000000000000000";
constexpr std::string_view kProgress =
    "444c4e4b02000200300000002900000000000000010000000000000072756e2d303030343132000000000000"
    "0000000000000000030000000d000000";

std::string from_hex(std::string_view digits) {
  std::string bytes;
  for (size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

Document parsed(std::string_view digits) {
  auto document = Document::parse(from_hex(digits));
  if (!document) throw std::runtime_error("the golden bytes are not valid MessagePack");
  return std::move(*document);
}

// The same map with an additional field, as a later version might write it.
std::string with_unknown_field(std::string_view digits) {
  std::string bytes = from_hex(digits);
  const auto first_byte = static_cast<unsigned char>(bytes[0]);
  if (first_byte == 0xde) {  // a map whose size has 16 bits
    bytes[2] = static_cast<char>(bytes[2] + 1);
  } else {  // a map of up to 15 fields
    bytes[0] = static_cast<char>(first_byte + 1);
  }
  Writer field;
  field.key("zz-later").count(7);
  return bytes + field.take();
}

TEST(Golden, JobRecord) {
  const Document document = parsed(kJob);
  const auto record = read_job_record(document.root());
  ASSERT_TRUE(record);
  EXPECT_EQ(record->spec.id, "run-000412");
  EXPECT_EQ(record->spec.team, "vision");
  EXPECT_TRUE(record->spec.gang);
  EXPECT_EQ(record->spec.deadline, Seconds(900));
  EXPECT_EQ(record->submitted, WallTime(Millis(1'700'000'000'123)));
  EXPECT_EQ(write_job_record(*record), from_hex(kJob));
}

TEST(Golden, ServiceJobRecord) {
  const Document document = parsed(kServiceJob);
  const auto record = read_job_record(document.root());
  ASSERT_TRUE(record);
  EXPECT_TRUE(record->spec.service);
  EXPECT_FALSE(record->spec.gang);
  EXPECT_EQ(record->spec.estimate, Seconds(0));
  EXPECT_EQ(record->spec.priority, Priority::production);
  EXPECT_EQ(write_job_record(*record), from_hex(kServiceJob));
}

TEST(Golden, FinalRecord) {
  const Document document = parsed(kFinal);
  const auto record = read_final(document.root());
  ASSERT_TRUE(record);
  EXPECT_TRUE(record->cancelled);
  EXPECT_EQ(record->tasks, 16u);
  EXPECT_EQ(write_final(*record), from_hex(kFinal));
}

TEST(Golden, LeaderAndEpoch) {
  const Document leader = parsed(kLeader);
  const auto record = read_leader(leader.root());
  ASSERT_TRUE(record);
  EXPECT_EQ(record->node, "dunlin-2");
  EXPECT_EQ(record->epoch, 41u);
  EXPECT_EQ(write_leader(*record), from_hex(kLeader));
  const Document epoch = parsed(kEpoch);
  EXPECT_EQ(read_epoch(epoch.root()), 41u);
  EXPECT_EQ(write_epoch(41), from_hex(kEpoch));
}

TEST(Golden, DoneChunk) {
  const Document document = parsed(kDone);
  std::vector<bool> done(10);
  ASSERT_TRUE(read_done_chunk(document.root(), 0, done));
  std::vector<bool> expected(10);
  expected[0] = expected[3] = expected[9] = true;
  EXPECT_EQ(done, expected);
  EXPECT_EQ(write_done_chunk(done, 0), from_hex(kDone));
}

TEST(Golden, MachineRecord) {
  const Document document = parsed(kMachineRecord);
  const auto record = read_machine_record(document.root());
  ASSERT_TRUE(record);
  EXPECT_EQ(record->address, "10.1.0.232:9000");
  ASSERT_EQ(record->groups.size(), 1u);
  EXPECT_EQ(record->groups[0].tasks.size(), 2u);
  EXPECT_EQ(record->groups[0].tasks[1].first, 3u);
  EXPECT_EQ(write_machine_record(*record), from_hex(kMachineRecord));
}

TEST(Golden, Catalog) {
  const auto types = read_catalog(from_hex(kCatalog));
  ASSERT_TRUE(types);
  ASSERT_EQ(types->size(), 1u);
  EXPECT_EQ(types->front().name, "g8");
  EXPECT_EQ(write_catalog(*types), from_hex(kCatalog));
}

TEST(Golden, RecordsWithUnknownFieldsAreRead) {
  const auto job = Document::parse(with_unknown_field(kJob));
  ASSERT_TRUE(job);
  EXPECT_TRUE(read_job_record(job->root()));
  const auto machine = Document::parse(with_unknown_field(kMachineRecord));
  ASSERT_TRUE(machine);
  EXPECT_TRUE(read_machine_record(machine->root()));
  const auto final = Document::parse(with_unknown_field(kFinal));
  ASSERT_TRUE(final);
  EXPECT_TRUE(read_final(final->root()));
  EXPECT_TRUE(read_catalog(with_unknown_field(kCatalog)));
}

TEST(Golden, TruncatedOrOversizedRecordsAreRejected) {
  for (const std::string_view digits :
       {kJob, kServiceJob, kFinal, kLeader, kEpoch, kDone, kMachineRecord, kCatalog}) {
    const std::string bytes = from_hex(digits);
    for (size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(Document::parse(std::string_view(bytes).substr(0, size))) << size;
    }
    EXPECT_FALSE(Document::parse(bytes + "x"));
  }
}

TEST(Golden, StatusFrame) {
  const std::string frame = from_hex(kStatus);
  const auto header = peer::read_header(frame);
  ASSERT_TRUE(header);
  EXPECT_EQ(header->kind, peer::Kind::status);
  const auto status = peer::read_status(std::string_view(frame).substr(peer::kHeaderBytes));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->epoch, 41u);
  EXPECT_EQ(status->cancel_revision, 431u);
  EXPECT_EQ(status->heartbeat_age, Millis(35));
  EXPECT_TRUE(status->leading && status->store_has_responded && status->heartbeat_received);
  EXPECT_EQ(peer::write_status(*status), frame);
}

TEST(Golden, CancelledFrame) {
  const std::string frame = from_hex(kCancelled);
  const auto id = peer::read_cancelled(std::string_view(frame).substr(peer::kHeaderBytes));
  ASSERT_TRUE(id);
  EXPECT_EQ(*id, "run-000412");
  EXPECT_EQ(peer::write_cancelled(*id), frame);
}

TEST(Golden, ProgressFrame) {
  const std::string frame = from_hex(kProgress);
  const auto progress = peer::read_progress(std::string_view(frame).substr(peer::kHeaderBytes));
  ASSERT_TRUE(progress);
  ASSERT_EQ(progress->entries.size(), 1u);
  EXPECT_EQ(progress->entries[0].running, 13u);
  EXPECT_EQ(peer::write_progress(*progress), frame);
}

TEST(Golden, TruncatedOversizedOrOtherVersionFramesAreRejected) {
  for (const std::string_view digits : {kStatus, kCancelled, kProgress}) {
    std::string frame = from_hex(digits);
    EXPECT_FALSE(peer::read_header(std::string_view(frame).substr(0, peer::kHeaderBytes - 1)));
    frame[4] = static_cast<char>(frame[4] + 1);  // the version
    EXPECT_FALSE(peer::read_header(frame));
  }
  const auto body = [](std::string_view digits) {
    return from_hex(digits).substr(peer::kHeaderBytes);
  };
  const std::string status = body(kStatus), cancelled = body(kCancelled),
                    progress = body(kProgress);
  for (size_t size = 0; size < status.size(); ++size)
    EXPECT_FALSE(peer::read_status(status.substr(0, size)));
  for (size_t size = 0; size < cancelled.size(); ++size) {
    EXPECT_FALSE(peer::read_cancelled(cancelled.substr(0, size)));
  }
  for (size_t size = 0; size < progress.size(); ++size) {
    EXPECT_FALSE(peer::read_progress(progress.substr(0, size)));
  }
  EXPECT_FALSE(peer::read_status(status + "x"));
  EXPECT_FALSE(peer::read_cancelled(cancelled + "x"));
  EXPECT_FALSE(peer::read_progress(progress + "x"));
}

}  // namespace
}  // namespace dunlinknot::wire
