/** The command line for operators. */
package org.lavenderstage.ctl;
