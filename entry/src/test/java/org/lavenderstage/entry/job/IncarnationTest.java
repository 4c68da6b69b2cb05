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
  private static final Incarnation FIRST = new Incarnation("vm-1", 1_000);
  private static final Incarnation SECOND = new Incarnation("vm-1", 2_000);
  private static final Incarnation OTHER = new Incarnation("vm-2", 3_000);
  private static final long LONGEST_MILLIS = 5_000;

  private static Members membersThatKnow(Incarnation announced) throws InterruptedException {
    MemoryLog log = new MemoryLog();
    MemberRecord record = new MemberRecord(announced.toString(), "10.0.0.1:1", 0);
    KeyedRecord keyed =
        new KeyedRecord(announced.toString(), Optional.of(StoredCodec.encode(record)));
    log.append(LogTopic.MEMBERS, OptionalLong.empty(), List.of(keyed)).join();
    Members members = new Members(log, OTHER.toString(), "10.0.0.2:1");
    members.start();
    long latest = Time.steadyMillis() + LONGEST_MILLIS;
    while (members.others().isEmpty() && Time.steadyMillis() < latest) {
      Thread.sleep(5);
    }
    return members;
  }

  @Test
  void theTextFormNamesTheSameIncarnation() {
    assertEquals(Optional.of(FIRST), Incarnation.parse(FIRST.toString()));
  }

  @Test
  void aTextWithoutAStartNamesNone() {
    assertEquals(Optional.empty(), Incarnation.parse("vm-1"));
    assertEquals(Optional.empty(), Incarnation.parse("vm-1@soon"));
  }

  @Test
  void anIncarnationIsReplacedOnceALaterOneOnItsVmIsKnown() throws InterruptedException {
    try (Members members = membersThatKnow(SECOND)) {
      assertTrue(members.isReplaced(FIRST.toString()));
    }
  }

  @Test
  void anIncarnationWhoseAnnouncementWasNotReadYetIsNotReplaced() throws InterruptedException {
    try (Members members = membersThatKnow(FIRST)) {
      assertFalse(members.isReplaced(SECOND.toString()));
      assertFalse(members.isReplaced(new Incarnation("vm-3", 1).toString()));
    }
  }
}
