package org.lavenderstage.core.sheet;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.record.SheetPart;

/**
 * The whole state of the configuration.
 *
 * @param current the version in force
 * @param parts parts that wait for their commit
 */
public record SheetState(SheetVersion current, List<SheetPart> parts) implements FoldState {
  /** Copies the parts. */
  public SheetState {
    parts = List.copyOf(parts);
  }
}
