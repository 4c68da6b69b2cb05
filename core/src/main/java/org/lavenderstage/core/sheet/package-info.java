/** The operators' sheet, which configures the system: its rows, checks and versions. */
package org.lavenderstage.core.sheet;
