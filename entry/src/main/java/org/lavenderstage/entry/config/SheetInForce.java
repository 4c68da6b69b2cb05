package org.lavenderstage.entry.config;

import org.lavenderstage.core.sheet.Sheet;

/**
 * The sheet that this entry currently uses.
 *
 * @param version version number, 0 before the first version
 * @param sheet the validated sheet
 */
public record SheetInForce(long version, Sheet sheet) {}
