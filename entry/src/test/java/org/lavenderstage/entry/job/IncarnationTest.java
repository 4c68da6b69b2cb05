package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.wire.codec.StoredCodec;

class IncarnationTest {
  private static final Incarnation EARLIER = new Incarnation("vm-1", 1_000);
  private static final Incarnation LATER = new Incarnation("vm-1", 2_000);
  private static final Incarnation OTHER_VM = new Incarnation("vm-2", 3_000);
  private static final long TIMEOUT_MILLIS = 5_000;

  private static Members startMembersKnowing(Incarnation announced) throws InterruptedException {
    InMemoryKeyedLog log = new InMemoryKeyedLog();
    MemberRecord record = new MemberRecord(announced.toString(), "10.0.0.1:1", 0, 300);
    KeyedRecord keyed =
        new KeyedRecord(announced.toString(), Optional.of(StoredCodec.encode(record)));
    log.append(LogTopic.MEMBERS, OptionalLong.empty(), List.of(keyed)).join();
    Members members = new Members(log, OTHER_VM.toString(), "10.0.0.2:1", 300);
    members.start();
    long deadlineMillis = Clocks.monotonicMillis() + TIMEOUT_MILLIS;
    while (members.others().isEmpty() && Clocks.monotonicMillis() < deadlineMillis) {
      Thread.sleep(5);
    }
    return members;
  }

  @Test
  void textFormIsParsedToSameIncarnation() {
    assertEquals(Optional.of(EARLIER), Incarnation.parse(EARLIER.toString()));
  }

  @Test
  void textWithoutStartTimeIsNotParsed() {
    assertEquals(Optional.empty(), Incarnation.parse("vm-1"));
    assertEquals(Optional.empty(), Incarnation.parse("vm-1@soon"));
  }

  @Test
  void incarnationIsReplacedByLaterOneOnSameVm() throws InterruptedException {
    try (Members members = startMembersKnowing(LATER)) {
      assertTrue(members.isReplaced(EARLIER.toString()));
    }
  }

  @Test
  void incarnationWithoutAnnouncementIsNotReplaced() throws InterruptedException {
    try (Members members = startMembersKnowing(EARLIER)) {
      assertFalse(members.isReplaced(LATER.toString()));
      assertFalse(members.isReplaced(new Incarnation("vm-3", 1).toString()));
    }
  }
}
