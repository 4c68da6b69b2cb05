package org.lavenderstage.core.sheet;

import java.util.List;
import java.util.Optional;

/**
 * The result of checking a sheet.
 *
 * @param sheet the sheet, empty if there are errors
 * @param errors all errors, ordered by line
 */
public record SheetCheck(Optional<Sheet> sheet, List<SheetError> errors) {
  /** Copies the errors. */
  public SheetCheck {
    errors = List.copyOf(errors);
  }
}
