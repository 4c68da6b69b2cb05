package org.lavenderstage.wire.csv;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetText;

class SheetReaderTest {
  private static final int LARGE_ROWS = 20_000;
  private static final Duration LARGE_TIME_LIMIT = Duration.ofSeconds(5);

  @Test
  void aSpreadsheetExportWithByteOrderMarkQuotesAndTrailingColumnsIsRead() {
    String text =
        String.join(
            "\r\n",
            "\uFEFF\"rank\",kind,name,share,,",
            "",
            "1,\"class\",\"night\",2,,",
            ",,,,,",
            "0,CLASS, day ,3",
            "");
    SheetCheck check = SheetReader.read(text);
    assertEquals(List.of(), check.errors());
    assertEquals(2, check.sheet().orElseThrow().size());
  }

  @Test
  void semicolonsSeparateCellsWhenTheFirstLineHasNoComma() {
    SheetCheck check = SheetReader.read("kind;name;rank;share\nclass;night;1;2\n");
    assertEquals(List.of(), check.errors());
  }

  @Test
  void aColumnThatNoRowNeedsMayBeMissing() {
    SheetCheck check =
        SheetReader.read("kind,name,rank,idempotent,timeout-millis\nservice,a,0,yes,10\n");
    assertEquals(List.of(), check.errors());
  }

  @Test
  void aMissingColumnIsReportedOnceOnTheFirstLine() {
    assertErrors(
        "\nkind,name,rank\nclass,a,0\nclass,b,0\n",
        "line 2, column share: LS-7002 the column is missing; line 3 needs it");
  }

  @Test
  void everyBadRowIsReportedWithItsLineAndColumn() {
    assertErrors(
        String.join(
            "\r\n",
            "kind,name,rank,share",
            "class,A,0,1",
            "",
            "class,b,\"1",
            "\",1",
            "class,c,x,0",
            "clas,d,0,1",
            "class,b,0,1,extra"),
        "line 2, column name: LS-7005 expected 1 to 63 lower-case letters, digits and hyphens",
        "line 6, column rank: LS-7005 expected 0 to 100",
        "line 6, column share: LS-7005 expected 1 to 1000000000",
        "line 7, column kind: LS-7003 expected workspace, service, class or pair",
        "line 8: LS-7009 'extra' stands beyond the last column",
        "line 8: LS-7006 a second row class b");
  }

  @Test
  void unknownAndDuplicateColumnsAreReportedTogether() {
    assertErrors(
        "kind,name,rank,rank,share,colour\nclass,a,0,0,1,\n",
        "line 1, column rank: LS-7010 a second such column",
        "line 1, column colour: LS-7001 no such column");
  }

  @Test
  void anUnclosedQuoteIsMalformed() {
    SheetCheck check = SheetReader.read("kind,name,rank,share\nclass,a,0,1\nclass,\"b,0,1\n");
    assertTrue(check.errors().stream().anyMatch(error -> error.code().label().equals("LS-7008")));
  }

  @Test
  void anEmptyTextIsRejected() {
    assertErrors("\r\n\r\n", "line 1: LS-7011 the text holds no row");
  }

  @Test
  void theCanonicalTextReadsAsTheSameSheet() {
    String text = "share,rank,name,kind\n2,1,night,class\n3,0,day,class\n";
    SheetText canonical = SheetText.of(SheetReader.read(text).sheet().orElseThrow());
    assertEquals(
        canonical.text(),
        SheetText.of(SheetReader.read(canonical.text()).sheet().orElseThrow()).text());
    assertEquals(canonical.rows(), SheetText.parse(canonical.text()).orElseThrow().rows());
  }

  @Test
  void twentyThousandRowsWithPairRulesAreCheckedWithinTheLimit() {
    StringBuilder text =
        new StringBuilder(
            "kind,name,rank,share,idempotent,timeout-millis,service,batch-class,rule\n");
    int rowsOfEachKind = LARGE_ROWS / 4;
    for (int i = 0; i < rowsOfEachKind; i++) {
      text.append("service,s-").append(i).append(",0,,yes,100,,,\n");
      text.append("class,c-").append(i).append(",0,1,,,,,\n");
      text.append("pair,,,,,,s-").append(i).append(",c-").append(i).append(",apart\n");
      text.append("pair,,,,,,s-")
          .append(i)
          .append(",c-0,")
          .append(i > 0 ? "allow" : "")
          .append("\n");
    }
    SheetCheck check = assertTimeout(LARGE_TIME_LIMIT, () -> SheetReader.read(text.toString()));
    assertEquals(2, check.errors().size());
  }

  private static void assertErrors(String text, String... expected) {
    List<String> errors = SheetReader.read(text).errors().stream().map(Object::toString).toList();
    assertEquals(List.of(expected), errors);
  }
}
